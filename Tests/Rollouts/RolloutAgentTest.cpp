#include "Rollouts/RolloutAgent.h"

#include <cmath>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::rollouts;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint Start{seconds(100)};
constexpr Bounds Limits{0.1, 50, seconds(5)};
const Order First{"s", "v2", seconds(40)};
const Order Second{"s", "v3", seconds(40)};

/// An agent that has known all versions for long, and an order at \p Start.
RolloutAgent makeAgent() {
  RolloutAgent out("a", Limits);
  std::vector<Instance> instances;
  for (const char *it : {"v1", "v2", "v3"})
    instances.push_back({it, "s", it, it, true});
  out.setFleet(std::move(instances), {"a", "b"}, Start - seconds(60));
  out.ordersConfirmed(Start);
  out.recordsConfirmed(Start);
  out.orderRead(First, Start);
  return out;
}

struct VersionRow {
  const char *Name;
  /// Phase of the first order, if it is decided.
  std::optional<Phase> Current;
  bool IsWithdrawn;
  bool IsReplaced;
  /// Whether instances of v1, v2 and v3 get requests beside the share.
  bool IsUsable[3];
  /// Version that has a share, and the share; null without one.
  const char *Shared;
  double Share;
};

const VersionRow VersionRows[] = {
    {"not decided", std::nullopt, false, false, {true, true, true}, "v2", 0},
    {"comparing",
     Phase::Comparing,
     false,
     false,
     {true, true, true},
     "v2",
     0.08},
    {"withdrawn", Phase::Comparing, true, false, {true, true, true}, "v2", 0},
    {"replaced", Phase::Comparing, false, true, {true, false, true}, "v3", 0},
    {"settling", Phase::Settling, false, false, {true, true, true}, "v2", 1},
    {"replaced when settling",
     Phase::Settling,
     false,
     true,
     {true, false, true},
     "v3",
     0},
    {"complete",
     Phase::Complete,
     false,
     false,
     {false, true, true},
     nullptr,
     0},
    {"replaced when complete",
     Phase::Complete,
     false,
     true,
     {false, true, true},
     "v3",
     0},
    {"rolled back",
     Phase::RolledBack,
     false,
     false,
     {true, false, true},
     nullptr,
     0},
    {"replaced when rolled back",
     Phase::RolledBack,
     false,
     true,
     {true, false, true},
     "v3",
     0},
};

struct SightingRow {
  const char *Name;
  /// When the operators' log was read at its end, after the version was seen.
  core::Duration Confirmed;
  bool IsUsable;
};

const SightingRow SightingRows[] = {
    {"orders read before it was seen", -seconds(1), false},
    {"orders read since", seconds(1), true},
};

struct LossRow {
  const char *Name;
  Phase Known;
  /// Phase that the log holds after it has returned to an older state.
  std::optional<Phase> Read;
  bool IsLost;
};

const LossRow LossRows[] = {
    {"the same", Phase::RolledBack, Phase::RolledBack, false},
    {"an earlier phase", Phase::RolledBack, Phase::Comparing, true},
    {"none", Phase::RolledBack, std::nullopt, true},
    {"none, complete", Phase::Complete, std::nullopt, true},
    {"a later phase", Phase::Settling, Phase::Complete, false},
};

} // namespace

// A verdict holds though the log has lost it, and is appended again.
ACACIA_TABLE_TEST(RolloutAgent, KeepsDecisionsThatTheLogLoses, LossRows) {
  RolloutAgent agent = makeAgent();
  agent.setFleet({{"v1", "s", "v1", "v1", true}}, {"a"}, Start);
  const Rollout known{First, row.Known, {"v1"}, {}, {}, ""};
  agent.recordRead(known, Start);
  agent.told(known);
  if (row.Read)
    agent.recordRead({First, *row.Read, {"v1"}, {}, {}, ""}, Start);
  else
    agent.keepRecords({});
  const auto proposal = agent.proposal(Start);
  cr_assert_eq(proposal.has_value(), row.IsLost, "%s", row.Name);
  if (!row.IsLost)
    return;
  cr_assert(proposal->Record == known, "%s", row.Name);
  cr_assert(agent.find("s")->Current == row.Known, "%s", row.Name);
  cr_assert_eq(agent.untoldDecisions().size(), 1, "%s", row.Name);
  agent.recordRead(known, Start);
  cr_assert_not(agent.proposal(Start).has_value(), "%s", row.Name);
}

ACACIA_TABLE_TEST(RolloutAgent, TellsWhichVersionsGetRequests, VersionRows) {
  RolloutAgent agent = makeAgent();
  if (row.Current)
    agent.recordRead({First, *row.Current, {"v1"}, {}, {}, ""}, Start);
  if (row.IsWithdrawn)
    agent.orderWithdrawn("s");
  if (row.IsReplaced)
    agent.orderRead(Second, Start);
  const auto now = Start + seconds(2);
  const char *versions[] = {"v1", "v2", "v3"};
  for (std::size_t n = 0; n < 3; ++n)
    cr_assert_eq(agent.isUsable({versions[n], "s", versions[n], "", true}),
                 row.IsUsable[n], "%s: %s", row.Name, versions[n]);
  const auto shares = agent.shares(now);
  cr_assert_eq(shares.size(), row.Shared == nullptr ? 0 : 1, "%s", row.Name);
  if (row.Shared == nullptr)
    return;
  const VersionShare &share = shares.at("s");
  cr_assert_eq(share.Version, row.Shared, "%s", row.Name);
  cr_assert_lt(std::abs(share.shareAt(now) - row.Share), 1e-9, "%s: %f",
               row.Name, share.shareAt(now));
}

// The versions of orders that were not taken get no requests under later ones.
ACACIA_TABLE_TEST(RolloutAgent, KeepsRejectedVersions, VersionRows) {
  RolloutAgent agent = makeAgent();
  if (!row.Current || !row.IsReplaced)
    return;
  agent.recordRead({First, *row.Current, {"v1"}, {}, {}, ""}, Start);
  agent.orderRead(Second, Start);
  auto proposal = agent.proposal(Start);
  if (!proposal) {
    // The other node decides first.
    agent.setFleet({{"v1", "s", "v1", "v1", true}}, {"a"}, Start);
    proposal = agent.proposal(Start);
  }
  cr_assert(proposal.has_value(), "%s", row.Name);
  const bool isTaken = *row.Current == Phase::Complete;
  cr_assert_eq(proposal->Record.RejectedVersions.size(), 1, "%s", row.Name);
  cr_assert_eq(proposal->Record.RejectedVersions[0], isTaken ? "v1" : "v2",
               "%s", row.Name);
}

ACACIA_TABLE_TEST(RolloutAgent, AwaitsOrdersForNewVersions, SightingRows) {
  RolloutAgent agent("a", Limits);
  agent.setFleet({{"n1", "s", "v1", "p1", true}}, {"a"}, Start);
  cr_assert(agent.isUsable({"n1", "s", "v1", "p1", true}), "%s", row.Name);
  agent.ordersConfirmed(Start);
  const auto seen = Start + seconds(10);
  agent.setFleet({{"n1", "s", "v1", "p1", true}, {"n2", "s", "v2", "p2", true}},
                 {"a"}, seen);
  agent.ordersConfirmed(seen + row.Confirmed);
  cr_assert_eq(agent.isUsable({"n2", "s", "v2", "p2", true}), row.IsUsable,
               "%s", row.Name);
  cr_assert_eq(agent.awaitsOrders(), !row.IsUsable, "%s", row.Name);
  cr_assert(agent.isUsable({"n1", "s", "v1", "p1", true}), "%s", row.Name);
}
