#include <array>

#include "Scenarios/FakeFleet.h"
#include "Support/Table.h"

using namespace acaciaroad::scenarios;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seeds = 60;
constexpr Duration MaxObservationTime = 3s;
constexpr Duration Resolution = 5ms;

using Fault = void (*)(FakeFleet &, const std::string &);

struct FaultRow {
  const char *Name;
  Fault Inject;
  /// Longest time for which a key of the faulty node may be unserved.
  Duration Limit;
};

const FaultRow FaultRows[] = {
    {"kill", [](FakeFleet &f, const std::string &n) { f.kill(n); }, 1s},
    {"pause", [](FakeFleet &f, const std::string &n) { f.pause(n, 10s); }, 1s},
    // A leaving node drains first; the longest upstream request runs for 250
    // ms.
    {"leave", [](FakeFleet &f, const std::string &n) { f.leave(n); }, 400ms},
};

/// Starts six nodes in three data centres and waits until ownership is stable.
/// The seed shifts the fault relative to the heartbeat phase.
void warmUp(FakeFleet &fleet, std::uint64_t seed) {
  constexpr std::array<const char *, 6> Names = {"a", "b", "c", "d", "e", "f"};
  constexpr std::array<const char *, 3> DataCentres = {"east", "west", "north"};
  for (std::size_t n = 0; n < Names.size(); ++n) {
    fleet.addNode(Names[n], DataCentres[n % DataCentres.size()]);
    fleet.start(Names[n]);
  }
  fleet.runUntil(8s + std::chrono::milliseconds(seed * 7 % 200));
}

/// Returns whether a node other than \p faultyNode serves \p key.
bool isServed(FakeFleet &fleet, std::uint64_t key,
              const std::string &faultyNode) {
  const auto by = fleet.servers(key);
  return by.size() > 1 || (by.size() == 1 && by[0] != faultyNode);
}

} // namespace

ACACIA_TABLE_TEST(UnavailabilityTest, endsInTime, FaultRows) {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    FleetOptions options;
    options.Seed = seed;
    FakeFleet fleet(options);
    warmUp(fleet, seed);
    const std::uint64_t key = seed % keys().size();
    const auto by = fleet.servers(key);
    cr_assert_eq(by.size(), 1, "seed %lu", seed);
    row.Inject(fleet, by[0]);
    const Duration start = fleet.now();
    while (!isServed(fleet, key, by[0]) &&
           fleet.now() < start + MaxObservationTime)
      fleet.runUntil(fleet.now() + Resolution);
    cr_assert_leq((fleet.now() - start).count(), row.Limit.count(),
                  "%s, seed %lu: %ld ms", row.Name, seed,
                  (fleet.now() - start) / 1ms);
    cr_assert(fleet.violation().empty(), "%s", fleet.violation().c_str());
  }
}
