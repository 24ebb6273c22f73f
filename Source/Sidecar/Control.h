/// \file
/// The control thread: follows the platform's logs, answers the own upstream,
/// and tells the traffic thread what it needs to know.

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
#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingAgent.h"
#include "Logging/Logger.h"
#include "Net/DatagramSocket.h"
#include "Net/HttpServer.h"
#include "Proxy/TrafficView.h"
#include "Sidecar/LogRelay.h"
#include "Sidecar/SidecarTypes.h"

namespace acaciaroad::sidecar {

/// What the traffic thread is told. Called on the control thread.
struct ControlHooks {
  std::function<void(std::shared_ptr<const proxy::TrafficView>)> OnView;
  /// The newest configuration was asked for at that moment.
  std::function<void(core::TimePoint)> OnConfigurationConfirmed;
};

struct ControlOptions {
  holdings::AgentIdentity Agent;
  holdings::AgentTiming Timing;
  core::Endpoint Listen;
  /// Datagrams of other nodes; all nodes use the same port.
  core::Endpoint Gossip;
  /// Reads of other nodes; all nodes use the same port.
  core::Endpoint Relay;
};

/// Owns all control state; every member runs on its loop.
class Control {
public:
  Control(boost::asio::io_context &loop, ControlOptions options,
          ControlCodec codec, ControlLogs logs,
          std::shared_ptr<logging::Logger> logger, ControlHooks hooks);

  /// Fails with InvalidArgument if the address cannot be bound.
  core::Result<void> start();

  /// The node shuts down: the upstream is still answered.
  void beginDrain();

  /// The upstream's address refuses connections.
  void upstreamRefused();

  /// The load of the own upstream, from the traffic thread.
  void setLoad(holdings::KeyedLoad load);

private:
  using ExchangePointer = std::shared_ptr<net::Exchange>;

  feed::FeedHooks operatorHooks();
  feed::FeedHooks fleetHooks();
  void applyOperators(const std::vector<feed::KeyedRecord> &records,
                      bool isSnapshot);
  void applyConfiguration(const std::string &value);
  void applyFleet(const std::vector<feed::KeyedRecord> &records,
                  core::Offset end, bool isSnapshot);
  /// \p end is that of the log when the record was read.
  void applyFleetRecord(const feed::KeyedRecord &record, core::Offset end,
                        core::TimePoint now);
  void logReachability(std::string_view log, bool isReachable,
                       std::string_view detail);
  void logDecodeError(std::string_view log, const core::Error &error);

  void handle(const ExchangePointer &exchange);
  void handleHeartbeat(const ExchangePointer &exchange,
                       const std::string &upstreamId);
  void answerHeartbeat(const ExchangePointer &exchange);
  void logGrant(const holdings::Grant &grant);
  void answerDeferredHeartbeats(core::TimePoint now);

  /// Returns the host through which this node reads, if it reads through one.
  std::optional<std::string> chooseRelay(RelayedLog log);
  /// Sets how often the logs are read, by whether this node reads them itself.
  void updateReaders(core::TimePoint now);
  void onDatagram(std::string_view bytes);
  /// Tells some other nodes the end of the log and the own load.
  void sendHints(bool announcesChange);
  /// Tells the coordinator what the own upstream has released.
  void sendReleaseNotice(core::TimePoint now);
  void tick();
  void appendPending(core::TimePoint now);
  void appendNodeRecord(const holdings::NodeRecord &record);
  void appendHoldingChange(const holdings::HoldingChange &change);
  void onChangeAppended(const std::vector<feed::KeyedRecord> &records,
                        core::TimePoint sent,
                        core::Result<core::Offset> result);
  void publish(core::TimePoint now);
  proxy::OwnUpstream describeOwnUpstream(core::TimePoint now) const;
  bool isKeyed() const;

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
  /// Hosts of the nodes that read the logs; empty if this node is one.
  std::vector<std::string> Readers;
  /// A node that has told of news, to be asked for it once.
  std::optional<std::string> HintSenderHost;
  /// A change may be proposed until then: the log was read just before.
  core::TimePoint ProposalDeadline{};
  std::unique_ptr<feed::KeyedFeed> Operators;
  std::unique_ptr<feed::KeyedFeed> Fleet;
  std::shared_ptr<const routing::RouteTable> Routes;
  std::set<std::string, std::less<>> DataCentresOut;
  holdings::FleetLedger Ledger;
  holdings::HoldingAgent Agent;
  bool IsFleetLoaded = false;
  bool IsAppending = false;
  bool IsFirstUpdate = true;
  bool IsViewStale = false;
  /// The own node has appended what others should read soon.
  bool HasUnannouncedChange = false;
  /// Nodes that a change gives keys to, to be told first.
  std::set<std::string, std::less<>> NewHolders;
  /// Heartbeats whose answer awaits a change of holdings.
  std::vector<ExchangePointer> DeferredHeartbeats;
  std::optional<holdings::Grant> LastGrant;
  core::TimePoint GrantedUntil{};
  core::TimePoint HeardAt{};
  core::TimePoint ColdUntil{};
  /// The life of the upstream that was ready last.
  holdings::UpstreamProcess LastReadyProcess;
  std::optional<core::TimePoint> LeavingSince;
  std::optional<core::TimePoint> DataCentreOutSince;
};

} // namespace acaciaroad::sidecar

#endif
