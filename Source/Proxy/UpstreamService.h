/// \file
/// Sends orders to the upstream on the same instance.

#ifndef ACACIAROAD_PROXY_UPSTREAMSERVICE_H
#define ACACIAROAD_PROXY_UPSTREAMSERVICE_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Holdings/LoadMove.h"
#include "Logging/Logger.h"
#include "Net/HttpClient.h"
#include "Proxy/HeaderCodec.h"
#include "Proxy/PeerFields.h"
#include "Proxy/TrafficCounters.h"
#include "Proxy/TrafficView.h"
#include "Upstream/AnswerBandwidth.h"
#include "Upstream/HandoverQueue.h"
#include "Upstream/KeyLoad.h"
#include "Upstream/LoopDelay.h"
#include "Upstream/OrderQueue.h"
#include "Upstream/UpstreamBreaker.h"

namespace acaciaroad::proxy {

/// A request to be run by the upstream of a node.
struct Order {
  /// As the upstream receives it, except for the metadata fields: they are
  /// written when it is sent.
  net::HttpRequest Request;
  std::string RequestId;
  /// Service that is to run the order. Empty if the order comes from a node of
  /// an earlier release, which doesn't name it.
  std::string Service;
  std::string Account;
  std::string CallerService;
  std::string WorkClass;
  /// Lower goes first.
  std::int32_t Rank = 0;
  routing::WorkKind Kind = routing::WorkKind::AtMostOnce;
  core::TimePoint Deadline{};
  /// Time up to which the answer has its full value.
  core::TimePoint Target{};
  std::string ExpectedUpstream;
  std::optional<holdings::Key> Key;
  /// Another node waits for the answer.
  bool IsRemote = false;
};

/// How an order ended; Answer is valid only with AttemptOutcome::Answered.
struct OrderResult {
  ForwardOutcome Outcome;
  net::HttpResponse Answer;
  /// Error of the call to another node, for logs.
  std::string Detail;
  /// Whether that call used a kept connection, if that is known.
  std::optional<bool> IsKept;
};

using OrderHandler = std::function<void(OrderResult)>;

/// Events for the control thread.
struct UpstreamHooks {
  /// Called when the upstream's address refuses a connection.
  std::function<void()> OnConnectionRefused;
  /// Called several times a second while the service is keyed.
  std::function<void(holdings::KeyedLoad)> OnLoad;
};

/// Admits orders through an OrderQueue and sends them to the upstream over kept
/// connections. All members are called on the traffic thread.
class UpstreamService {
public:
  UpstreamService(boost::asio::io_context &loop, const core::Endpoint &upstream,
                  HeaderCodec codec, std::shared_ptr<logging::Logger> logger,
                  TrafficCounters &counters, UpstreamHooks hooks);

  /// Sets the rate of the instance's network in bytes per second; 0 if it is
  /// unlimited.
  void setNetworkRate(double bytesPerSecond) {
    Bandwidth.setRate(bytesPerSecond);
  }

  /// Replaces the view. \p service is the upstream's service, or null if the
  /// configuration does not have it.
  void setView(std::shared_ptr<const TrafficView> view,
               const routing::Service *service);

  /// The node stops at \p end: no order gets a later deadline, and the node
  /// reports no slots so that other nodes choose other upstreams.
  void stopAt(core::TimePoint end);

  /// Refuses new orders from now on.
  void beginDrain() { Draining = true; }

  /// Refuses the orders that wait in the queue or for a handover.
  void refuseWaiting();

  /// Runs, queues or refuses an order. \p handler is called once, possibly
  /// before this returns. The ticket is for `withdraw` and `abandon`.
  upstream::Ticket offer(Order order, OrderHandler handler);

  /// Removes a waiting order without calling its handler. Returns false if the
  /// order has already been sent.
  bool withdraw(upstream::Ticket id);

  /// Drops the handler of an order that nobody waits for any more. A waiting
  /// order is removed; a sent one is cancelled after a short grace period if it
  /// is idempotent.
  void abandon(upstream::Ticket id);

  /// Returns the rank of the order that the upstream runs under the id
  /// \p requestId; nothing if it runs none.
  std::optional<std::int32_t> rankOfRunning(std::string_view requestId) const;

  /// Returns the load to report to other nodes; no slots while the node stops.
  requests::ReportedLoad load() const;

  /// Memory limit that all answers on this node share.
  const std::shared_ptr<net::AnswerMemory> &answerMemory() const {
    return Memory;
  }

private:
  struct OrderRun {
    Order Data;
    OrderHandler Handler;
    std::shared_ptr<net::ClientCall> Call;
    core::TimePoint SentAt{};
    /// When an abandoned order is cancelled.
    std::optional<core::TimePoint> CancelAt;
  };

  /// Whether the upstream holds \p key, is to get it, or another node has it.
  upstream::KeyOwnership ownershipOf(holdings::Key key,
                                     core::TimePoint now) const;
  /// The same for the key of \p order. Held if the service has no keys.
  upstream::KeyOwnership ownershipOf(const Order &order,
                                     core::TimePoint now) const;
  /// Whether \p order is for an upstream of another service.
  bool isMisdirected(const Order &order) const;
  /// Whether the network can't carry the answer to \p order in time.
  bool exceedsBandwidth(const Order &order, core::TimePoint now) const;
  /// Returns the delay after which a retry of \p order may succeed.
  core::Duration retryAfter(const Order &order, core::TimePoint now) const;
  /// Returns why an order cannot be accepted, if so.
  std::optional<core::ErrorKind> refusalReason(const Order &order) const;
  /// Enqueues an order, lets it wait for the handover of its key, or refuses
  /// it, according to the \p ownership of its key.
  void admit(upstream::Ticket id, upstream::KeyOwnership ownership,
             core::TimePoint now);
  void enqueue(upstream::Ticket id, core::TimePoint now);
  /// Takes the waiting orders whose keys the upstream no longer holds out of
  /// the queue, so that they follow their keys instead of waiting for a slot.
  void readmitWaiting(core::TimePoint now);
  /// Enqueues or refuses orders whose handover has completed or timed out.
  void resolveHandovers(core::TimePoint now);
  std::span<const holdings::Holding> holdingsOfService() const;
  void send(upstream::Ticket id);
  /// Writes the metadata of an order that is about to be sent. Returns false if
  /// nobody waits for it any more.
  bool writeOrderFields(upstream::Ticket id, net::HttpFields &fields);
  void onCallEnded(upstream::Ticket id, net::CallResult result);
  /// Tells the breaker how a call ended, and the queue what follows.
  void updateBreaker(const OrderRun &run, const net::CallResult &result,
                     core::TimePoint now);
  /// Derives the outcome of a call, and records its latency or that the
  /// upstream could not be reached.
  ForwardOutcome classifyResult(const OrderRun &run,
                                const net::CallResult &result,
                                core::TimePoint now);
  void refuse(upstream::Ticket id, core::ErrorKind reason);
  void completeOrder(upstream::Ticket id, OrderResult result);
  void advance();
  void reportLoad();
  void tick();
  void scheduleTick();
  void suspectRestart(core::TimePoint now);
  void applyColdRate(core::TimePoint now);

  boost::asio::io_context &Loop;
  HeaderCodec Codec;
  std::shared_ptr<logging::Logger> Log;
  TrafficCounters &Counters;
  UpstreamHooks Hooks;
  std::shared_ptr<net::AnswerMemory> Memory;
  std::shared_ptr<net::HttpClient> Client;
  std::shared_ptr<const TrafficView> View;
  upstream::OrderQueue Queue;
  upstream::UpstreamBreaker Breaker;
  upstream::AnswerBandwidth Bandwidth;
  upstream::HandoverQueue Handovers;
  upstream::KeyLoad Keys{holdings::KeyCount};
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer LoadTimer;
  core::TimePoint PrunedAt{};
  upstream::LoopDelay Delay;
  /// When the timer is due, if it is set.
  std::optional<core::TimePoint> NextTick;
  bool Draining = false;
  std::optional<core::TimePoint> EndsAt;
  std::unordered_map<upstream::Ticket, OrderRun> Orders;
  /// Tickets of the orders that the upstream runs, by request id.
  std::map<std::string, upstream::Ticket, std::less<>> RunningIds;
  upstream::Ticket NextTicket = 1;
  double ColdRate = 0;
  bool IsKeyed = false;
  /// When a connection to the upstream last failed; it may have restarted.
  std::optional<core::TimePoint> RestartSuspectedAt;
};

} // namespace acaciaroad::proxy

#endif
