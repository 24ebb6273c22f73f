#include "Rollouts/RolloutPlan.h"

#include "Rollouts/VersionChoice.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::rollouts;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::Duration Length = seconds(40);
constexpr core::Duration LongestRequest = seconds(2);
constexpr Bounds Limits{0.1, 50, seconds(5)};

struct StepRow {
  const char *Name;
  Phase Current;
  core::Duration Began;
  core::Duration Age;
  std::size_t Instances;
  std::uint64_t Answers;
  std::optional<Defect> Worse;
  bool IsWithdrawn;
  std::optional<Phase> Next;
};

const StepRow StepRows[] = {
    {"just ordered", Phase::Warming, seconds(0), seconds(1), 0, 0, std::nullopt,
     false, std::nullopt},
    {"warm", Phase::Warming, seconds(0), seconds(5), 3, 0, std::nullopt, false,
     Phase::Comparing},
    {"not started yet", Phase::Warming, seconds(0), seconds(9), 0, 0,
     std::nullopt, false, std::nullopt},
    {"never started", Phase::Warming, seconds(0), seconds(30), 0, 0,
     std::nullopt, false, Phase::RolledBack},
    {"slow when started", Phase::Warming, seconds(0), seconds(1), 3, 0,
     Defect::Latency, false, std::nullopt},
    {"fails when started", Phase::Warming, seconds(0), seconds(1), 3, 0,
     Defect::Failures, false, Phase::RolledBack},
    {"compared", Phase::Comparing, seconds(5), seconds(29), 3, 900,
     std::nullopt, false, std::nullopt},
    {"worse", Phase::Comparing, seconds(5), seconds(29), 3, 900,
     Defect::Latency, false, Phase::RolledBack},
    {"withdrawn", Phase::Comparing, seconds(5), seconds(9), 3, 900,
     std::nullopt, true, Phase::RolledBack},
    {"compared long enough", Phase::Comparing, seconds(5), seconds(30), 3, 900,
     std::nullopt, false, Phase::Settling},
    {"too few answers", Phase::Comparing, seconds(5), seconds(30), 3, 29,
     std::nullopt, false, Phase::RolledBack},
    {"left by its instances", Phase::Comparing, seconds(5), seconds(30), 0, 900,
     std::nullopt, false, Phase::RolledBack},
    {"settling", Phase::Settling, seconds(30), milliseconds(34'900), 3, 0,
     std::nullopt, false, std::nullopt},
    {"settling, withdrawn", Phase::Settling, seconds(30), seconds(31), 3, 0,
     std::nullopt, true, std::nullopt},
    {"settled", Phase::Settling, seconds(30), seconds(35), 3, 0, std::nullopt,
     false, Phase::Complete},
    {"complete", Phase::Complete, seconds(35), seconds(90), 0, 0,
     Defect::Failures, true, std::nullopt},
    {"rolled back", Phase::RolledBack, seconds(9), seconds(90), 3, 900,
     std::nullopt, true, std::nullopt},
};

struct ShareRow {
  const char *Name;
  double Share;
  int Nodes;
  int RequestsOfNode;
};

const ShareRow ShareRows[] = {
    {"many requests", 0.08, 84, 1000},
    {"a first request on each node", 0.08, 84, 1},
    {"few requests", 0.005, 84, 50},
    {"one node", 0.08, 1, 1000},
};

struct InstancesRow {
  const char *Name;
  double Share;
  std::size_t Count;
  std::size_t Used;
};

const InstancesRow InstancesRows[] = {
    {"none", 0.1, 0, 0},  {"one", 0.1, 1, 1}, {"a few", 0.1, 9, 1},
    {"many", 0.1, 46, 5}, {"all", 1, 46, 46},
};

} // namespace

ACACIA_TABLE_TEST(RolloutPlan, TakesTheStepThatIsDue, StepRows) {
  const Rollout rollout{{"s", "v2", Length}, row.Current, {"v1"}, {},
                        row.Began,           ""};
  Situation situation{row.Age,         LongestRequest, row.Instances,
                      row.IsWithdrawn, std::nullopt,   row.Answers};
  if (row.Worse)
    situation.Worse = Finding{*row.Worse, "r", 50, 100, 0, 0};
  const auto step = nextStep(rollout, situation);
  cr_assert_eq(step.has_value(), row.Next.has_value(), "%s", row.Name);
  if (step)
    cr_assert_eq(step->To, *row.Next, "%s", row.Name);
}

// The sum over the nodes stays within the share and one request for each of
// some nodes, whatever each of them rounds.
ACACIA_TABLE_TEST(VersionChoice, KeepsTheShareOfTheFleet, ShareRows) {
  int taken = 0;
  for (int node = 0; node < row.Nodes; ++node) {
    VersionChoice choice((node + 0.5) / row.Nodes);
    for (int n = 0; n < row.RequestsOfNode; ++n)
      taken += choice.takesNext(row.Share) ? 1 : 0;
  }
  const double exact = row.Share * row.Nodes * row.RequestsOfNode;
  cr_assert_leq(std::abs(taken - exact), 1 + 0.01 * exact, "%s: %d, not %f",
                row.Name, taken, exact);
}

ACACIA_TABLE_TEST(RolloutPlan, LoadsInstancesAsInTheEnd, InstancesRows) {
  cr_assert_eq(instancesFor(row.Share, row.Count), row.Used, "%s", row.Name);
}

// Before the verdict the share stays below the bound; after it, it reaches all.
Test(RolloutPlan, KeepsTheBoundUntilTheVerdict) {
  for (const auto it : {Phase::Warming, Phase::Comparing})
    for (int s = 0; s < 60; ++s)
      cr_assert_lt(shareIn(it, seconds(s), Limits), Limits.Share);
  cr_assert_lt(shareIn(Phase::Settling, seconds(0), Limits), 1);
  cr_assert_eq(shareIn(Phase::Settling, seconds(2), Limits), 1);
  cr_assert_eq(shareIn(Phase::RolledBack, seconds(2), Limits), 0);
}
