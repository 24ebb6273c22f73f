#include "Accounts/CreditFleet.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Nodes = 12;

/// Eight accounts, three of which send \p factor times their rate, the others
/// 0.7 times.
std::vector<ModelAccount> accountsAt(double factor) {
  std::vector<ModelAccount> out;
  for (int n = 0; n < 8; ++n) {
    const std::int64_t rate = n < 2 ? 400 : 20 + 10 * n;
    const double over = n % 3 == 0 ? factor : 0.7;
    out.push_back({"account" + std::to_string(n), rate,
                   n % 2 == 0 ? rate / 2 : rate / 10 + 2,
                   static_cast<double>(rate) * over, n % 2 == 0 ? 0.0 : 2.0});
  }
  return out;
}

enum class FaultType : std::uint8_t {
  None,
  OwnerLoss,
  Move,
  Partition,
  Pause,
  All
};

struct FaultRow {
  const char *Name;
  NetworkFaults Faults;
  FaultType What;
};

const FaultRow FaultRows[] = {
    {"no faults", {}, FaultType::None},
    {"loss", {.Loss = 0.2}, FaultType::None},
    {"duplication", {.Duplication = 0.5}, FaultType::None},
    {"late messages", {.Late = 0.3}, FaultType::None},
    {"owner failure", {}, FaultType::OwnerLoss},
    {"planned moves", {}, FaultType::Move},
    {"partition of nodes", {}, FaultType::Partition},
    {"paused nodes", {}, FaultType::Pause},
    {"all faults",
     {.Loss = 0.1, .Duplication = 0.3, .Late = 0.2},
     FaultType::All},
};

constexpr std::uint64_t Seeds = 25;

/// Sends far more requests than the burst of every account at the same time.
void sendBurst(CreditFleet &fleet) {
  constexpr int PerNode = 20;
  for (std::size_t account = 0; account < 8; ++account)
    for (std::size_t node = 0; node < Nodes; ++node)
      for (int n = 0; n < PerNode; ++n)
        fleet.request(account, node);
}

/// Injects a fault now and schedules the next one at a random time.
void cause(EventLoop &loop, Random &random, CreditFleet &fleet,
           FaultType what) {
  if (what == FaultType::None)
    return;
  const FaultType now = what == FaultType::All
                            ? static_cast<FaultType>(1 + random.below(4))
                            : what;
  const std::size_t node = random.below(Nodes);
  switch (now) {
  case FaultType::OwnerLoss:
    fleet.failOwner(node, milliseconds(random.below(300)));
    break;
  case FaultType::Move:
    fleet.moveOwner(node);
    break;
  case FaultType::Partition:
    fleet.block(node, true);
    loop.after(milliseconds(random.below(1500)),
               [&fleet, node] { fleet.block(node, false); });
    break;
  default:
    fleet.pause(node, true);
    loop.after(milliseconds(random.below(1500)),
               [&fleet, node] { fleet.pause(node, false); });
    break;
  }
  loop.after(milliseconds(random.below(1200)), [&] { sendBurst(fleet); });
  loop.after(milliseconds(400 + random.below(1200)),
             [&, what] { cause(loop, random, fleet, what); });
}

struct ServiceRow {
  const char *Name;
  double Rate;
  /// Maximum of requests per million that are refused although a single token
  /// bucket would admit them.
  std::uint64_t WrongfulPpm;
  /// Maximum of taken requests per thousand that wait for an owner.
  std::uint64_t WaitPermille;
};

const ServiceRow ServiceRows[] = {
    {"half of the rate", 0.5, 0, 450},
    {"0.9 times the rate", 0.9, 6000, 500},
};

} // namespace

ACACIA_TABLE_TEST(CreditFleetTest, rateHoldsThroughFaults, FaultRows) {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    EventLoop loop;
    Random random(seed);
    CreditFleet fleet(loop, random, Nodes, accountsAt(5), row.Faults);
    loop.after(seconds(1), [&] { cause(loop, random, fleet, row.What); });
    fleet.run(loop.now() + seconds(12));
    const CreditCounts sum = fleet.total();
    cr_assert_eq(sum.Violations, 0,
                 "%s, seed %lu: %lu requests exceeded the rate", row.Name, seed,
                 sum.Violations);
    cr_assert_gt(sum.Taken, sum.Offered / 20,
                 "%s, seed %lu: only %lu requests taken", row.Name, seed,
                 sum.Taken);
  }
}

ACACIA_TABLE_TEST(CreditFleetTest, servesWhatIsWithinTheRate, ServiceRows) {
  EventLoop loop;
  Random random(11);
  std::vector<ModelAccount> accounts = accountsAt(1);
  for (ModelAccount &it : accounts) {
    it.Offered = static_cast<double>(it.PerSecond) * row.Rate;
    it.Burst = it.PerSecond / 2;
  }
  CreditFleet fleet(loop, random, Nodes, accounts, {});
  loop.runUntil(loop.now() + seconds(2));
  fleet.run(loop.now() + seconds(60));
  const CreditCounts sum = fleet.total();
  cr_assert_leq(sum.Wrongful * 1'000'000, row.WrongfulPpm * sum.Offered,
                "%s: %lu of %lu requests wrongly refused", row.Name,
                sum.Wrongful, sum.Offered);
  const std::uint64_t waited = sum.Taken - sum.AtOnce;
  cr_assert_leq(waited * 1000, row.WaitPermille * sum.Taken,
                "%s: %lu of %lu taken requests waited", row.Name, waited,
                sum.Taken);
}
