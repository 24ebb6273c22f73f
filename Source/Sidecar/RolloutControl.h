/// \file
/// Input and output of the roll-outs on the control thread.

#ifndef ACACIAROAD_SIDECAR_ROLLOUTCONTROL_H
#define ACACIAROAD_SIDECAR_ROLLOUTCONTROL_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Backoff.h"
#include "Feed/FeedTypes.h"
#include "Holdings/FleetLedger.h"
#include "Logging/Logger.h"
#include "Proxy/TrafficView.h"
#include "Rollouts/RolloutAgent.h"
#include "Routing/RouteTable.h"
#include "Sidecar/SidecarTypes.h"

namespace acaciaroad::sidecar {

/// The node that carries out roll-outs.
struct RolloutIdentity {
  std::string Node;
  std::uint64_t Incarnation = 0;
};

/// What RolloutControl needs from its owner.
struct RolloutHooks {
  /// Sends a datagram to a node.
  std::function<void(std::string_view node, std::string_view bytes)> Send;
  /// The platform's status log is called.
  std::function<void()> OnStoreCall;
};

/// Connects the roll-outs of the fleet with logs, datagrams and views. Lives on
/// the control thread.
class RolloutControl {
public:
  RolloutControl(RolloutIdentity identity, rollouts::Bounds bounds,
                 const ControlCodec &codec, feed::KeyedLog status,
                 std::shared_ptr<logging::Logger> logger, RolloutHooks hooks);

  /// Applies a record of the operators' log; nullopt withdraws the order.
  void applyOrder(const std::string &service,
                  const std::optional<std::string> &value, core::TimePoint now);
  /// Withdraws all orders that a snapshot of the operators' log doesn't have.
  void keepOrders(const std::set<std::string, std::less<>> &services);
  void ordersConfirmed(core::TimePoint requested) {
    Agent.ordersConfirmed(requested);
  }

  /// Applies a record of the fleet's log, or all records of a snapshot.
  void applyDecision(const std::string &service,
                     const std::optional<std::string> &value,
                     core::TimePoint now);
  void keepDecisions(const std::set<std::string, std::less<>> &services) {
    Agent.keepRecords(services);
  }
  void recordsConfirmed(core::TimePoint requested) {
    Agent.recordsConfirmed(requested);
  }

  void setRoutes(const routing::RouteTable &routes);
  void setFleet(const holdings::FleetLedger &ledger, core::TimePoint now);

  /// Takes the counts of the traffic thread.
  void setCounts(std::vector<rollouts::CountReport> counts) {
    OwnCounts = std::move(counts);
  }
  void receive(const rollouts::CountReport &report, core::TimePoint now) {
    Agent.receive(report, now);
  }

  /// Returns whether the operators' log should be read at once.
  bool awaitsOrders() const { return Agent.awaitsOrders(); }

  /// Returns whether a record is to be appended at the end of the fleet's log.
  bool hasProposal(core::TimePoint now) const;
  /// Returns that record. The next one waits for proposalEnded.
  std::optional<feed::KeyedRecord> nextProposal(core::TimePoint now);
  /// Called with the outcome, or when the log could not be read before.
  void proposalEnded(bool isAppended, core::TimePoint now);

  /// Returns whether a roll-out has not ended.
  bool isBusy() const { return Agent.isBusy(); }

  /// Judges counts and tells others; to be called every few milliseconds.
  void tick(core::TimePoint now);

  /// Returns whether a view has changed since the last call of describe.
  bool isViewStale(core::TimePoint now) const;
  /// Fills in the roll-outs of \p view, and closes the instances of versions
  /// that get no requests.
  void describe(proxy::TrafficView &view, core::TimePoint now);

private:
  using Shares = std::map<std::string, rollouts::VersionShare, std::less<>>;

  void sendCounts(core::TimePoint now);
  void writeStatus(core::TimePoint now);
  /// Returns whether \p status tells a verdict about the version of
  /// \p decision, which is none itself.
  bool isVerdict(const rollouts::Rollout &decision,
                 const std::optional<std::string> &status) const;
  /// Logs orders that are not carried out.
  void logUnsupported();
  void appendStatus(const rollouts::Rollout &decision,
                    const feed::NewestPage &page);
  void onStatusEnded(const rollouts::Rollout &decision, bool isWritten);
  void logDecision(const rollouts::Rollout &decision);

  RolloutIdentity Identity;
  ControlCodec Codec;
  feed::KeyedLog Status;
  std::shared_ptr<logging::Logger> Log;
  RolloutHooks Hooks;
  rollouts::RolloutAgent Agent;
  std::vector<rollouts::CountReport> OwnCounts;
  core::TimePoint CountsSentAt{};
  Shares Shown;
  core::Backoff ProposalPauses;
  core::TimePoint NextProposal{};
  bool IsWritingStatus = false;
  core::Backoff StatusPauses;
  core::TimePoint NextStatus{};
  /// Services whose keys are assigned to upstreams.
  std::set<std::string, std::less<>> Keyed;
  /// Services whose orders were logged as not carried out.
  std::set<std::string, std::less<>> Unsupported;
};

} // namespace acaciaroad::sidecar

#endif
