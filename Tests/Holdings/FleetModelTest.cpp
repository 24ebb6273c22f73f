#include "Holdings/FleetModel.h"

#include <cstdlib>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::tests;

namespace {

struct SeedRow {
  const char *Name;
  std::uint64_t First;
  std::uint64_t Count;
  int Nodes;
  bool HasRestorations = false;
};

// ACACIA_MODEL_RUNS multiplies the number of seeds, for longer manual runs.
const SeedRow SeedRows[] = {
    {"two nodes", 1, 500, 2},
    {"four nodes", 1001, 1000, 4},
    {"six nodes", 2001, 500, 6},
    {"two nodes, log restored", 3001, 500, 2, true},
    {"four nodes, log restored", 4001, 1000, 4, true},
    {"six nodes, log restored", 5001, 500, 6, true},
};

struct BrokenRuleRow {
  const char *Name;
  BrokenRule Rule;
  bool HasRestorations = false;
};

const BrokenRuleRow BrokenRows[] = {
    {"a lease runs from the answer", BrokenRule::LeaseFromAnswer},
    {"a lease expires early for other nodes", BrokenRule::EarlyLapse},
    {"appends are unconditional", BrokenRule::Unconditional},
    {"tokens stay the same", BrokenRule::SameToken},
    {"another era is ignored", BrokenRule::IgnoreEra, true},
    {"keys are assigned at once in another era", BrokenRule::AssignAtOnce,
     true},
    {"holdings of earlier eras count", BrokenRule::TrustFormerHoldings, true},
    {"withheld keys are claimed", BrokenRule::ClaimWithheld, true},
    {"keys are claimed after the lease", BrokenRule::ClaimAfterLease, true},
    {"the lease is extended without the claim", BrokenRule::RenewWithoutClaim,
     true},
    {"tokens don't tell the era", BrokenRule::TokenWithoutEra, true},
};

std::uint64_t factor() {
  const char *text = std::getenv("ACACIA_MODEL_RUNS");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

} // namespace

ACACIA_TABLE_TEST(FleetModel, KeepsOneHolder, SeedRows) {
  const std::uint64_t end = row.First + row.Count * factor();
  for (std::uint64_t seed = row.First; seed < end; ++seed) {
    ModelOptions options;
    options.Seed = seed;
    options.Nodes = row.Nodes;
    options.HasRestorations = row.HasRestorations;
    const ModelResult result = runFleetModel(options);
    cr_assert(result.Violation.empty(), "%s, seed %lu: %s", row.Name,
              static_cast<unsigned long>(seed), result.Violation.c_str());
  }
}

ACACIA_TABLE_TEST(FleetModel, FindsBrokenRules, BrokenRows) {
  constexpr std::uint64_t MaxSeeds = 300;
  for (std::uint64_t seed = 1; seed <= MaxSeeds; ++seed) {
    ModelOptions options;
    options.Seed = seed;
    options.Broken = row.Rule;
    options.HasRestorations = row.HasRestorations;
    if (!runFleetModel(options).Violation.empty())
      return;
  }
  cr_assert_fail("%s: no violation found", row.Name);
}

Test(FleetModel, HoldsAllKeysWithoutFaults) {
  ModelOptions options;
  options.HasFaults = false;
  const ModelResult result = runFleetModel(options);
  cr_assert(result.Violation.empty(), "%s", result.Violation.c_str());
  cr_assert_float_eq(result.HeldFraction, 1.0, 1e-9);
  cr_assert_eq(result.Changes, 1);
}

// Keys stay with their holders while the log is restored, if it lasts for long
// enough to renew the leases in between.
Test(FleetModel, HoldsAllKeysWhenTheLogIsRestored) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ModelOptions options;
    options.Seed = seed;
    options.HasFaults = false;
    options.HasRestorations = true;
    const ModelResult result = runFleetModel(options);
    cr_assert(result.Violation.empty(), "seed %lu: %s",
              static_cast<unsigned long>(seed), result.Violation.c_str());
    cr_assert_gt(result.Restorations, 0);
    cr_assert_float_eq(result.HeldFraction, 1.0, 1e-9, "seed %lu: %f",
                       static_cast<unsigned long>(seed), result.HeldFraction);
  }
}
