/// \file
/// The roll-outs of a fleet, as one node knows and drives them.

#ifndef ACACIAROAD_ROLLOUTS_ROLLOUTAGENT_H
#define ACACIAROAD_ROLLOUTS_ROLLOUTAGENT_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Rollouts/CountLedger.h"
#include "Rollouts/RolloutPlan.h"
#include "Rollouts/RolloutTypes.h"
#include "Rollouts/VersionTraffic.h"

namespace acaciaroad::rollouts {

/// An instance of a service, as its node last announced it.
struct Instance {
  std::string Node;
  std::string Service;
  std::string Version;
  /// Id of the upstream's process.
  std::string Process;
  /// Accepts new requests.
  bool IsOpen = false;
};

/// What the roll-outs of a service depend on beside its instances.
struct ServiceFacts {
  /// Its roll-outs are not carried out.
  bool IsKeyed = false;
  /// Longest time that a request to the service takes.
  core::Duration LongestRequest{};
};

/// A record that is to be appended to the fleet's log, only if it still ends
/// where it has been read.
struct Proposal {
  Rollout Record;
  /// Phase before it; empty for a new order.
  std::optional<Phase> Before;
};

/// Follows orders and decisions, judges the counts that it receives, and
/// proposes the steps that its rank calls for. The aggregate performs no I/O.
class RolloutAgent {
public:
  RolloutAgent(std::string node, Bounds bounds);

  /// Takes an order that was read from the operators' log.
  void orderRead(const Order &order, core::TimePoint now);
  void orderWithdrawn(std::string_view service);
  /// Services that have orders which are not withdrawn.
  std::vector<std::string> orderedServices() const;
  /// Returns whether a roll-out has not ended.
  bool isBusy() const;

  /// Takes a decision that was read from the fleet's log. An earlier phase of
  /// the same order is not taken: the log has lost the later one.
  void recordRead(const Rollout &record, core::TimePoint now);
  /// Takes decisions that a snapshot of the log has no records of for lost.
  void keepRecords(const std::set<std::string, std::less<>> &services);

  /// The operators' log was read at its end at \p requested.
  void ordersConfirmed(core::TimePoint requested);
  /// The fleet's log was read at its end at \p requested.
  void recordsConfirmed(core::TimePoint requested);

  void setFacts(std::map<std::string, ServiceFacts, std::less<>> facts) {
    Facts = std::move(facts);
  }
  /// Sets the instances of all services, and the nodes that are in touch. The
  /// versions of the first call are taken for known: a node that starts must
  /// not wait for another read of the operators' log.
  void setFleet(std::vector<Instance> instances, std::vector<std::string> nodes,
                core::TimePoint now);

  /// Takes the counts of a node, also of this one.
  void receive(const CountReport &report, core::TimePoint now);

  /// Judges the counts. To be called regularly.
  void advance(core::TimePoint now);

  /// Returns the step that this node is to propose now, if any.
  std::optional<Proposal> proposal(core::TimePoint now) const;

  /// Returns the decisions whose status this node is to tell operators.
  std::vector<Rollout> untoldDecisions() const;
  /// Operators have been told of \p record.
  void told(const Rollout &record);

  /// Returns the nodes that get this node's counts for \p service.
  std::vector<std::string> receivers(std::string_view service) const;

  /// Returns the age of the order for \p service; 0 if there is none.
  core::Duration orderAge(std::string_view service, core::TimePoint now) const;

  /// Returns how requests are divided while a roll-out of \p service runs.
  std::optional<VersionShare> share(std::string_view service,
                                    core::TimePoint now) const;
  /// Returns the shares of all services with a roll-out that runs.
  std::map<std::string, VersionShare, std::less<>>
  shares(core::TimePoint now) const;

  /// Returns whether \p instance may get requests at all: not if it runs a
  /// version that was rolled back or replaced, or one that an order may be for
  /// which isn't known yet.
  bool isUsable(const Instance &instance) const;

  /// Returns whether a version was seen for which an order may be that isn't
  /// known yet.
  bool awaitsOrders() const;

  /// Returns the decision about \p service, or null.
  const Rollout *find(std::string_view service) const;
  /// Returns the counts of the current phase.
  std::vector<RouteCounts> counts(std::string_view service) const;
  const Bounds &bounds() const { return Limits; }

private:
  struct OrderState {
    Order Request;
    bool IsWithdrawn = false;
    /// When the order was given, on this node's clock, as far as it knows.
    core::TimePoint Since{};
  };
  struct ServiceState {
    std::optional<OrderState> Ordered;
    std::optional<Rollout> Record;
    CountLedger Counts;
    std::optional<Finding> Worse;
    /// The log doesn't hold the decision any more.
    bool IsLost = false;
    /// The decision that operators were told last.
    std::optional<Rollout> Told;
  };
  struct Sighting {
    std::string Process;
    core::TimePoint Since{};
  };
  enum class Rank : std::uint8_t { First, Second, Other };

  const ServiceFacts &factsOf(std::string_view service) const;
  /// Returns the nodes in touch in the order in which they decide.
  std::span<const std::string> ranking(std::string_view service) const;
  void updateRankings();
  Rank rankOf(std::string_view service) const;
  bool isReporter(std::string_view service) const;
  static bool isCurrent(const ServiceState &state);
  static core::Duration age(const ServiceState &state, core::TimePoint now);
  bool isWarm(const Instance &instance, core::TimePoint now) const;
  /// Returns the nodes with usable instances of \p version, sorted.
  std::vector<std::string> nodesOf(std::string_view service,
                                   std::string_view version, bool needsWarm,
                                   core::TimePoint now) const;
  /// Returns the first decision about \p state's order.
  Rollout begin(const ServiceState &state, core::TimePoint now) const;
  Situation situationOf(std::string_view service, const ServiceState &state,
                        core::TimePoint now) const;

  std::string Node;
  Bounds Limits;
  std::map<std::string, ServiceFacts, std::less<>> Facts;
  std::map<std::string, ServiceState, std::less<>> Services;
  std::vector<Instance> Instances;
  std::vector<std::string> Nodes;
  /// Nodes in the order in which they decide, by service.
  std::map<std::string, std::vector<std::string>, std::less<>> Rankings;
  /// Since when each node's upstream is known, by node.
  std::map<std::string, Sighting, std::less<>> Sightings;
  /// When each version of a service was seen first, by service and version.
  std::map<std::pair<std::string, std::string>, core::TimePoint> Versions;
  bool HasFleet = false;
  core::TimePoint OrdersAt{};
  core::TimePoint RecordsAt{};
};

} // namespace acaciaroad::rollouts

#endif
