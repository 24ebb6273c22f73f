/// \file
/// State of the control thread: follows the platform's logs, answers the
/// local upstream's heartbeats and publishes views to the traffic thread.

#ifndef ACACIAROAD_SIDECAR_CONTROL_H
#define ACACIAROAD_SIDECAR_CONTROL_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Feed/KeyedFeed.h"
#include "Feed/RelaySelector.h"
#include "Feed/RelayTiming.h"
#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingAgent.h"
#include "Logging/Logger.h"
#include "Net/DatagramSocket.h"
#include "Net/HttpServer.h"
#include "Proxy/TrafficView.h"
#include "Sidecar/LogRelay.h"
#include "Sidecar/RenewalCollector.h"
#include "Sidecar/RolloutControl.h"
#include "Sidecar/SidecarTypes.h"
#include "Sidecar/StoreCalls.h"

namespace acaciaroad::sidecar {

/// Notifications for the traffic thread, called on the control thread.
struct ControlHooks {
  std::function<void(std::shared_ptr<const proxy::TrafficView>)> OnView;
  /// The known configuration was up to date at some time after the argument.
  std::function<void(core::TimePoint)> OnConfigurationConfirmed;
  /// Calls to the platform's logs since the start.
  std::function<void(const StoreCallCounts &)> OnStoreCalls;
};

/// Identity, timing and listen addresses of the control part.
struct ControlOptions {
  holdings::AgentIdentity Agent;
  holdings::AgentTiming Timing;
  core::Endpoint Listen;
  /// Receives datagrams from other nodes; all nodes use the same port.
  core::Endpoint Gossip;
  /// Serves log reads to other nodes; all nodes use the same port.
  core::Endpoint Relay;
  /// Reads of the operators' log.
  feed::RelayTiming OperatorReads;
  /// Absent where roll-outs are not carried out.
  std::optional<rollouts::Bounds> Rollouts{};
};

/// Owns all control state. All members must be called on its event loop.
class Control {
public:
  Control(boost::asio::io_context &loop, ControlOptions options,
          ControlCodec codec, ControlLogs logs,
          std::shared_ptr<logging::Logger> logger, ControlHooks hooks);

  /// Starts the servers and the log feeds. Fails with InvalidArgument if an
  /// address cannot be bound.
  core::Result<void> start();

  /// Announces that the node stops. Heartbeats are still answered.
  void beginDrain();

  /// Reports that the upstream's address refused a connection.
  void upstreamRefused();

  /// Sets the load of the local upstream, as measured by the traffic thread.
  void setLoad(holdings::KeyedLoad load);

  /// Sets the counts of answers by version, as the traffic thread has them.
  void setVersionCounts(std::vector<rollouts::CountReport> counts);

private:
  using ExchangePointer = std::shared_ptr<net::Exchange>;

  /// A heartbeat that is still to be answered, and the process that sent it.
  struct PendingHeartbeat {
    ExchangePointer Exchange;
    holdings::UpstreamProcess Process;
  };

  /// A leave request that is answered once the log has the leave.
  struct PendingLeave {
    ExchangePointer Exchange;
    std::string UpstreamId;
  };

  /// \p log has entered \p era; its records are read again.
  void enterEra(RelayedLog log, core::LogEra era);
  feed::FeedHooks operatorHooks();
  feed::FeedHooks fleetHooks();
  void applyOperators(const std::vector<feed::KeyedRecord> &records,
                      bool isSnapshot);
  void applyConfiguration(const std::string &value);
  void onOperatorsConfirmed(core::TimePoint requestedAt);
  void applyFleet(const std::vector<feed::KeyedRecord> &records,
                  core::Offset end, bool isSnapshot);
  /// \p end is the end of the log when the record was read.
  void applyFleetRecord(const feed::KeyedRecord &record, core::Offset end,
                        core::TimePoint now);
  void logReachability(std::string_view log, bool isReachable,
                       std::string_view detail);
  void logDecodeError(std::string_view log, const core::Error &error);

  void handle(const ExchangePointer &exchange);
  void handleHeartbeat(const ExchangePointer &exchange,
                       const std::string &upstreamId);
  void answerHeartbeat(const PendingHeartbeat &heartbeat);
  void logGrant(const holdings::Grant &grant);
  void logClaim(const holdings::HoldingClaim &claim);
  /// Logs which assignments \p change ends, and why.
  void logFreedKeys(const holdings::HoldingChange &change);
  void answerDeferredHeartbeats(core::TimePoint now);
  void answerDeferredLeaves(core::TimePoint now);
  /// Whether the upstream is leaving and the log doesn't have it yet.
  bool isLeaveUnrecorded() const;
  /// Tells the upstream that its leave isn't acknowledged.
  void refuseLeave(const ExchangePointer &exchange,
                   std::string_view upstreamId);

  RelayHooks relayHooks();
  RelayChoice chooseRelay(RelayedLog log);
  void onRelayFailed(std::string_view host, const core::Error &error);
  /// Recomputes which nodes read the logs directly, and this node's polling.
  void updateReaders(core::TimePoint now);
  void onDatagram(std::string_view bytes);
  /// Sends the local load to other nodes. Includes the end of the fleet log if
  /// this \p announcesChange, so that receivers read up to it.
  void sendHints(bool announcesChange);
  /// Sends the key ranges that the local upstream released to the coordinator.
  void sendReleaseNotice(core::TimePoint now);
  void tick();
  void appendPending(core::TimePoint now);
  /// Appends \p record, and with it this node's claim of the present era until
  /// that is in the log.
  void appendNodeRecord(const holdings::NodeRecord &record);
  void onNodeRecordAppended(std::uint64_t sequence, bool isStateChange,
                            const core::Result<feed::Appended> &result);
  /// Renews the lease through a reader, or directly if none is known.
  void renewLease(const holdings::NodeRecord &record);
  /// Continues after the renewal \p sequence was appended or, if \p round is
  /// nullopt, wasn't. \p round is the time until the next regular append.
  void onLeaseRenewed(std::uint64_t sequence,
                      std::optional<core::Duration> round);
  void countStoreCall(StoreCallCause cause);
  void reportStoreCalls(core::TimePoint now);
  void appendRolloutDecision(const feed::KeyedRecord &record);
  void sendToNode(std::string_view node, std::string_view bytes);
  RolloutHooks rolloutHooks();
  void appendHoldingChange(const holdings::HoldingChange &change);
  void onChangeAppended(const std::vector<feed::KeyedRecord> &records,
                        core::TimePoint sent,
                        core::Result<feed::Appended> result);
  /// Continues after a conditional append of \p records to the fleet's log,
  /// which was sent at \p sent.
  void finishChange(const std::vector<feed::KeyedRecord> &records,
                    core::TimePoint sent,
                    const core::Result<feed::Appended> &result);
  void publish(core::TimePoint now);
  proxy::OwnUpstream describeOwnUpstream(core::TimePoint now) const;
  bool isKeyed() const;
  /// Whether a heartbeat of the own upstream must list its keys.
  KeyLists keyLists() const;

  boost::asio::io_context &Loop;
  ControlOptions Options;
  ControlCodec Codec;
  ControlLogs Logs;
  std::shared_ptr<logging::Logger> Log;
  ControlHooks Hooks;
  boost::asio::steady_timer Timer;
  std::unique_ptr<net::HttpServer> Server;
  std::unique_ptr<net::DatagramSocket> Gossip;
  holdings::NodeLoad OwnLoad;
  core::TimePoint HintsSentAt{};
  std::unique_ptr<LogRelay> Relay;
  feed::RelaySelector Readers;
  RenewalCollector Renewals;
  StoreCallCounts StoreCalls{};
  core::TimePoint StoreCallsReportedAt{};
  /// Host that announced new records; the next fleet read goes there.
  std::optional<std::string> HintSenderHost;
  /// Until then the known end of the log is recent enough for a proposal.
  core::TimePoint ProposalDeadline{};
  std::unique_ptr<feed::KeyedFeed> Operators;
  std::unique_ptr<feed::KeyedFeed> Fleet;
  std::shared_ptr<const routing::RouteTable> Routes;
  std::set<std::string, std::less<>> DataCentresOut;
  /// Until then, what the operators' log lacks may have to be written again.
  core::TimePoint OperatorsRestoredAt{};
  holdings::FleetLedger Ledger;
  holdings::HoldingAgent Agent;
  std::optional<RolloutControl> Rollouts;
  bool IsFleetLoaded = false;
  /// The next snapshot is the first one of an era that began while this node
  /// ran. It may lack nodes that live.
  bool IsEraSnapshot = false;
  bool IsAppending = false;
  /// The last renewal through a reader failed, so the next one is appended
  /// directly.
  bool HasRenewalFailed = false;
  bool IsViewStale = false;
  /// This node appended records that have not been announced to others yet.
  bool HasUnannouncedChange = false;
  /// Nodes that receive keys from a proposed change; they get hints first.
  std::set<std::string, std::less<>> NewHolders;
  /// Heartbeats whose responses wait for a change of holdings.
  std::vector<PendingHeartbeat> DeferredHeartbeats;
  std::vector<PendingLeave> DeferredLeaves;
  std::optional<holdings::Grant> LastGrant;
  core::TimePoint GrantedUntil{};
  core::TimePoint HeardAt{};
  core::TimePoint ColdUntil{};
  /// The upstream process that was last seen ready.
  holdings::UpstreamProcess LastReadyProcess;
  std::optional<core::TimePoint> LeavingSince;
  std::optional<core::TimePoint> DataCentreOutSince;
};

} // namespace acaciaroad::sidecar

#endif
