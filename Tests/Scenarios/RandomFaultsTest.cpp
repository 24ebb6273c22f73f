#include "Scenarios/RandomFaults.h"

#include <cstdlib>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::scenarios;

namespace {

/// Returns the environment variable \p name as a number, or \p otherwise if it
/// is not set.
std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise) {
  const char *text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// The seeds are split into parts that run in parallel. ACACIA_FIRST_SEED sets
/// the first seed and ACACIA_SEEDS the number of seeds per part.
struct PartRow {
  std::uint64_t Part;
};

constexpr std::uint64_t SeedsPerPart = 125;

const PartRow PartRows[] = {{0}, {1}, {2}, {3}, {4}, {5}, {6}, {7}};

struct BreakRow {
  const char *Name;
  ownership::ProtocolFaults InjectedFaults;
  /// Number of seeds within which the disabled rule must cause a violation.
  std::uint64_t Seeds;
};

const BreakRow BreakRows[] = {
    {"ask", {.Ask = true}, 3000},       {"lapse", {.Lapse = true}, 3000},
    {"chain", {.Chain = true}, 3000},   {"joint", {.Joint = true}, 3000},
    {"expiry", {.Expiry = true}, 3000}, {"drain", {.Drain = true}, 3000},
};

} // namespace

ACACIA_TABLE_TEST(RandomFaultsTest, noTwoOwners, PartRows) {
  const std::uint64_t count =
      numberFromEnvironment("ACACIA_SEEDS", SeedsPerPart);
  const std::uint64_t first =
      numberFromEnvironment("ACACIA_FIRST_SEED", 1) + row.Part * count;
  std::uint64_t served = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const RandomOutcome out = runRandomFaults(seed, {});
    cr_assert(out.Violation.empty(), "seed %lu: %s", seed,
              out.Violation.c_str());
    cr_assert(out.Unserved.empty(), "seed %lu: %s", seed, out.Unserved.c_str());
    served += out.Served;
  }
  cr_assert_gt(served, 0);
}

ACACIA_TABLE_TEST(RandomFaultsTest, brokenRuleIsFound, BreakRows) {
  for (std::uint64_t seed = 1; seed <= row.Seeds; ++seed)
    if (!runRandomFaults(seed, row.InjectedFaults).Violation.empty())
      return;
  cr_assert(false, "rule %s disabled: no violation found in %lu seeds",
            row.Name, row.Seeds);
}
