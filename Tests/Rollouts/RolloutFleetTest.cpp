#include "Rollouts/RolloutModel.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::rollouts;
using namespace acaciaroad::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::Duration Length = seconds(40);
constexpr unsigned SeedCount = 10;
/// From the 50th bad answer to the last request, as operators allow it.
constexpr core::Duration RollBack = seconds(5);
constexpr double Share = 0.1;
constexpr int Slack = 50;

/// Latencies from 60 to 240 ms, and ordinary failures.
ModelAnswer ordinary(const ModelRequest &request) {
  const auto latency =
      milliseconds(60 + static_cast<int>(180 * request.Random));
  return {request.Random < 0.01, latency};
}

ModelAnswer fails(const ModelRequest &request, double share) {
  auto out = ordinary(request);
  out.IsFailure = out.IsFailure || request.Random < share;
  return out;
}

ModelAnswer slow(const ModelRequest &request, double share) {
  auto out = ordinary(request);
  if (request.Random < share)
    out.Latency = 4 * (out.Latency + milliseconds(60));
  return out;
}

bool isLate(const ModelRequest &request) { return request.Age > seconds(18); }

struct KindRow {
  const char *Name;
  AnswerFunction Answer;
  Phase End;
};

const KindRow KindRows[] = {
    {"good", ordinary, Phase::Complete},
    {"fails at once",
     [](const ModelRequest &it) {
       return it.IsNext ? fails(it, 0.3) : ordinary(it);
     },
     Phase::RolledBack},
    {"a tenth fails",
     [](const ModelRequest &it) {
       return it.IsNext ? fails(it, 0.1) : ordinary(it);
     },
     Phase::RolledBack},
    {"slow at once",
     [](const ModelRequest &it) {
       return it.IsNext ? slow(it, 0.4) : ordinary(it);
     },
     Phase::RolledBack},
    {"fails later",
     [](const ModelRequest &it) {
       return it.IsNext && isLate(it) ? fails(it, 0.3) : ordinary(it);
     },
     Phase::RolledBack},
    {"slow later",
     [](const ModelRequest &it) {
       return it.IsNext && isLate(it) ? slow(it, 0.4) : ordinary(it);
     },
     Phase::RolledBack},
    {"fails under load",
     [](const ModelRequest &it) {
       return it.IsNext && it.Load > 0.7 ? fails(it, 0.3) : ordinary(it);
     },
     Phase::RolledBack},
    {"slow under load",
     [](const ModelRequest &it) {
       return it.IsNext && it.Load > 0.7 ? slow(it, 0.4) : ordinary(it);
     },
     Phase::RolledBack},
    {"fails on one route",
     [](const ModelRequest &it) {
       return it.IsNext && it.Route == 1 ? fails(it, 0.3) : ordinary(it);
     },
     Phase::RolledBack},
    {"slow on one route",
     [](const ModelRequest &it) {
       return it.IsNext && it.Route == 1 ? slow(it, 0.5) : ordinary(it);
     },
     Phase::RolledBack},
    {"a bad time of both",
     [](const ModelRequest &it) {
       return it.Age > seconds(10) && it.Age < seconds(20) ? fails(it, 0.5)
                                                           : ordinary(it);
     },
     Phase::Complete},
    {"a slow time of both",
     [](const ModelRequest &it) {
       return it.Age > seconds(10) && it.Age < seconds(20) ? slow(it, 0.5)
                                                           : ordinary(it);
     },
     Phase::Complete},
};

struct FaultRow {
  const char *Name;
  /// Age of the order at the fault and at its end.
  core::Duration At;
  core::Duration Until;
  void (*Begin)(RolloutModel &, std::size_t decider);
  void (*End)(RolloutModel &, std::size_t node);
};

void killNode(RolloutModel &model, std::size_t node) { model.kill(node); }
void startNode(RolloutModel &model, std::size_t node) { model.start(node); }
void cutNode(RolloutModel &model, std::size_t node) {
  model.setCut(node, true);
}
void joinNode(RolloutModel &model, std::size_t node) {
  model.setCut(node, false);
}
void freezeNode(RolloutModel &model, std::size_t node) {
  model.setFrozen(node, true);
}
void thawNode(RolloutModel &model, std::size_t node) {
  model.setFrozen(node, false);
}
void stopStore(RolloutModel &model, std::size_t /*node*/) {
  model.setStoreDown(true);
}
void startStore(RolloutModel &model, std::size_t /*node*/) {
  model.setStoreDown(false);
}

const FaultRow FaultRows[] = {
    {"killed when ordered", seconds(1), seconds(3), killNode, startNode},
    {"killed when compared", seconds(12), seconds(14), killNode, startNode},
    {"killed for good", seconds(12), seconds(99), killNode, startNode},
    {"killed when settling", seconds(31), seconds(33), killNode, startNode},
    {"cut off when ordered", seconds(1), seconds(4), cutNode, joinNode},
    {"cut off when compared", seconds(12), seconds(16), cutNode, joinNode},
    {"cut off when settling", seconds(31), seconds(33), cutNode, joinNode},
    {"frozen when ordered", seconds(1), seconds(4), freezeNode, thawNode},
    {"frozen when compared", seconds(12), seconds(18), freezeNode, thawNode},
    {"frozen when settling", seconds(31), seconds(33), freezeNode, thawNode},
    {"no store when ordered", seconds(1), seconds(4), stopStore, startStore},
    {"no store when compared", seconds(12), seconds(18), stopStore, startStore},
    {"no store when settling", seconds(31), seconds(33), stopStore, startStore},
};

void playWithFault(RolloutModel &model, const FaultRow &row) {
  std::optional<std::size_t> node;
  bool isOver = false;
  model.play(Length, [&](RolloutModel &it) {
    if (!node && it.age() >= row.At) {
      node = it.decider();
      row.Begin(it, *node);
    }
    if (node && !isOver && it.age() >= row.Until) {
      isOver = true;
      row.End(it, *node);
    }
  });
}

} // namespace

ACACIA_TABLE_TEST(Rollout, EndsAsTheVersionDeserves, KindRows) {
  for (unsigned seed = 1; seed <= SeedCount; ++seed) {
    RolloutModel model(row.Answer, seed);
    model.play(Length);
    cr_assert(model.phase() == row.End, "%s, seed %u: phase %d", row.Name, seed,
              model.phase() ? static_cast<int>(*model.phase()) : -1);
    cr_assert_eq(model.Stranded, 0, "%s, seed %u", row.Name, seed);
    if (row.End == Phase::Complete)
      continue;
    cr_assert_leq(model.Exposed, Share * model.Requests + Slack, "%s",
                  row.Name);
    if (model.FiftiethBad)
      cr_assert_leq(model.LastExposure - *model.FiftiethBad, RollBack,
                    "%s, seed %u", row.Name, seed);
  }
}

ACACIA_TABLE_TEST(Rollout, GoodVersionSurvivesFaults, FaultRows) {
  for (unsigned seed = 1; seed <= SeedCount; ++seed) {
    RolloutModel model(ordinary, seed);
    playWithFault(model, row);
    cr_assert(model.phase() == Phase::Complete, "%s, seed %u: phase %d",
              row.Name, seed,
              model.phase() ? static_cast<int>(*model.phase()) : -1);
  }
}

ACACIA_TABLE_TEST(Rollout, BadVersionIsStoppedDespiteFaults, FaultRows) {
  for (unsigned seed = 1; seed <= SeedCount; ++seed) {
    RolloutModel model(
        [](const ModelRequest &it) {
          const bool isBad = it.IsNext && it.Age > seconds(12);
          return isBad ? fails(it, 0.6) : ordinary(it);
        },
        seed);
    playWithFault(model, row);
    cr_assert(model.phase() == Phase::RolledBack, "%s, seed %u: phase %d",
              row.Name, seed,
              model.phase() ? static_cast<int>(*model.phase()) : -1);
    cr_assert_leq(model.Exposed, Share * model.Requests + Slack, "%s",
                  row.Name);
    if (model.FiftiethBad)
      cr_assert_leq(model.LastExposure - *model.FiftiethBad, RollBack,
                    "%s, seed %u", row.Name, seed);
  }
}

// A node that doesn't hear of the verdict stops by itself.
Test(Rollout, NodeThatReadsNoVerdictStopsTheExposure) {
  RolloutModel model(
      [](const ModelRequest &it) {
        return it.IsNext && it.Age > seconds(13) ? fails(it, 0.4)
                                                 : ordinary(it);
      },
      1);
  model.play(seconds(12));
  const std::size_t other = model.decider() == 0 ? 1 : 0;
  model.setCut(other, true);
  model.play(seconds(28));
  cr_assert(model.phase() == Phase::RolledBack);
  // The whole fleet has the bound, so half of it is left to the others.
  cr_assert_leq(model.LastExposure - model.History.back().second, RollBack / 2);
}

Test(Rollout, WithdrawnOrderIsRolledBack) {
  RolloutModel model(ordinary, 1);
  model.play(seconds(12));
  model.withdraw();
  model.play(seconds(3));
  cr_assert(model.phase() == Phase::RolledBack);
  cr_assert_leq(model.LastExposure, seconds(15));
}

// The version of an order that is replaced gets no more requests.
Test(Rollout, ReplacedOrderEndsItsExposure) {
  RolloutModel model(ordinary, 1);
  model.play(seconds(12));
  model.replace({"s", "v3", Length});
  model.play(seconds(2));
  const int exposed = model.Exposed;
  model.play(seconds(20));
  cr_assert_eq(model.Exposed, exposed);
}
