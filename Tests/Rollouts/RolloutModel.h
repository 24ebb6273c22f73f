/// \file
/// Nodes that roll a version out over one log, with replayed loads and faults.

#ifndef ACACIAROAD_TESTS_ROLLOUTS_ROLLOUTMODEL_H
#define ACACIAROAD_TESTS_ROLLOUTS_ROLLOUTMODEL_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Rollouts/RolloutAgent.h"
#include "Rollouts/VersionChoice.h"
#include "Support/Random.h"

namespace acaciaroad::tests {

/// A request as its upstream sees it.
struct ModelRequest {
  bool IsNext = false;
  std::size_t Route = 0;
  /// Of the order.
  core::Duration Age{};
  /// Load of the instance, 1 if each instance of its version served as many
  /// requests as when it serves all.
  double Load = 0;
  /// Uniform in [0, 1).
  double Random = 0;
};

struct ModelAnswer {
  bool IsFailure = false;
  core::Duration Latency{};
};

using AnswerFunction = std::function<ModelAnswer(const ModelRequest &)>;

/// Plays one roll-out in steps of a tenth of a second.
class RolloutModel {
public:
  static constexpr std::size_t NodeCount = 12;
  static constexpr std::size_t InstancesOfVersion = 12;

  RolloutModel(AnswerFunction answer, std::uint64_t seed);

  /// Plays for \p time. \p eachStep may bring faults about.
  void play(core::Duration time,
            const std::function<void(RolloutModel &)> &eachStep = {});

  /// Stops a node; it forgets everything when it starts again.
  void kill(std::size_t node);
  void start(std::size_t node);
  /// Whether the node reaches the log.
  void setCut(std::size_t node, bool isCut) { Hosts[node].IsCut = isCut; }
  /// Whether the node does nothing but keeps its state.
  void setFrozen(std::size_t node, bool isFrozen) {
    Hosts[node].IsFrozen = isFrozen;
  }
  void setStoreDown(bool isDown) { IsStoreDown = isDown; }
  void withdraw();
  void replace(const rollouts::Order &order);

  /// Returns the node that decides, as the rest see it.
  std::size_t decider() const;
  std::optional<rollouts::Phase> phase() const;
  core::Duration age() const { return Now - OrderedAt; }

  /// Answers of the new version that were bad.
  int BadAnswers = 0;
  /// Requests in all, and those to the new version before it was taken.
  int Requests = 0;
  int Exposed = 0;
  /// Requests to the former version after the roll-out was complete.
  int Stranded = 0;
  /// Age of the last request to the new version, if it was rolled back.
  core::Duration LastExposure{};
  /// Age at which the 50th bad answer came.
  std::optional<core::Duration> FiftiethBad;
  /// Phases in the order in which they were appended, with their age.
  std::vector<std::pair<rollouts::Phase, core::Duration>> History;
  /// Proposals that the log has refused.
  int Refused = 0;

private:
  struct Host {
    std::optional<rollouts::RolloutAgent> Agent;
    rollouts::VersionChoice Choice{0};
    std::uint64_t Incarnation = 1;
    std::map<std::string, rollouts::RouteCounts> Counts;
    std::size_t Read = 0;
    bool IsOrderRead = false;
    bool IsCut = false;
    bool IsFrozen = false;
    core::TimePoint LapsedFrom = core::TimePoint::max();
  };

  void step();
  void read(std::size_t node);
  void serve(std::size_t node);
  void report(std::size_t node);
  void propose(std::size_t node);

  static std::string nameOf(std::size_t node);

  AnswerFunction Answer;
  Random Generator;
  core::TimePoint Now{std::chrono::seconds(100)};
  core::TimePoint OrderedAt;
  rollouts::Order Order;
  bool IsWithdrawn = false;
  bool IsStoreDown = false;
  std::vector<rollouts::Rollout> Log;
  std::vector<Host> Hosts;
  int Steps = 0;
};

} // namespace acaciaroad::tests

#endif
