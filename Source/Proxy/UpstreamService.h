/// \file
/// Runs orders at the upstream beside the node.

#ifndef ACACIAROAD_PROXY_UPSTREAMSERVICE_H
#define ACACIAROAD_PROXY_UPSTREAMSERVICE_H

#include <cstdint>
#include <functional>
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
#include "Upstream/HandoverQueue.h"
#include "Upstream/KeyLoad.h"
#include "Upstream/OrderQueue.h"

namespace acaciaroad::proxy {

/// A request for the own upstream.
struct Order {
  /// In the form that the upstream gets; the time left is set when it is sent.
  net::HttpRequest Request;
  std::string RequestId;
  std::string Account;
  std::string CallerService;
  std::string WorkClass;
  std::int32_t Rank = 0;
  routing::WorkKind Kind = routing::WorkKind::AtMostOnce;
  core::TimePoint Deadline{};
  core::TimePoint Target{};
  std::string ExpectedUpstream;
  std::optional<holdings::Key> Key;
};

/// How an order ended; Answer only counts with AttemptOutcome::Answered.
struct OrderResult {
  ForwardOutcome Outcome;
  net::HttpResponse Answer;
  /// What failed on the way to another node.
  std::string Detail;
  /// Whether a kept connection to it was used, if that is known.
  std::optional<bool> IsKept;
};

using OrderHandler = std::function<void(OrderResult)>;

/// What it tells the control thread.
struct UpstreamHooks {
  /// The upstream's address refuses connections.
  std::function<void()> OnConnectionRefused;
  /// Told several times a second for an upstream that holds keys.
  std::function<void(holdings::KeyedLoad)> OnLoad;
};

/// Admits orders by an OrderQueue and sends them over kept connections. All
/// members are called on the traffic thread.
class UpstreamService {
public:
  UpstreamService(boost::asio::io_context &loop, const core::Endpoint &upstream,
                  HeaderCodec codec, std::shared_ptr<logging::Logger> logger,
                  TrafficCounters &counters, UpstreamHooks hooks);

  /// Takes over what the control thread knows.
  void setView(std::shared_ptr<const TrafficView> view,
               const routing::Service *service);

  /// The node stops at \p end: the upstream gets no more time than that, and
  /// other nodes are told to go elsewhere.
  void stopAt(core::TimePoint end);

  /// New orders are refused from now on.
  void beginDrain() { Draining = true; }

  /// Refuses the orders that wait.
  void refuseWaiting();

  /// Runs or refuses an order. \p handler is called once, perhaps before this
  /// returns. The ticket is for `abandon`.
  upstream::Ticket offer(Order order, OrderHandler handler);

  /// Takes an order back; returns false if it has been sent already. Its
  /// handler is not called.
  bool withdraw(upstream::Ticket id);

  /// Nobody waits for the order any more: it does not start, and if it may be
  /// repeated, it is broken off soon.
  void abandon(upstream::Ticket id);

  requests::ReportedLoad load() const;

  /// What the answers that the node takes in may hold.
  const std::shared_ptr<net::AnswerMemory> &answerMemory() const {
    return Memory;
  }

private:
  struct OrderRun {
    Order Data;
    OrderHandler Handler;
    std::shared_ptr<net::ClientCall> Call;
    core::TimePoint SentAt{};
    /// When an abandoned order is broken off.
    std::optional<core::TimePoint> CancelAt;
  };

  upstream::KeyOwnership standingOf(holdings::Key key,
                                    core::TimePoint now) const;
  std::optional<core::ErrorKind> refusalReason(const Order &order) const;
  /// Gives an order to the queue, lets it wait for its key, or refuses it.
  void admit(upstream::Ticket id, core::TimePoint now);
  void enqueue(upstream::Ticket id, core::TimePoint now);
  /// Goes on with orders whose key has arrived or gone.
  void resolveHandovers(core::TimePoint now);
  std::span<const holdings::Holding> holdingsOfService() const;
  void send(upstream::Ticket id);
  void onCallEnded(upstream::Ticket id, net::CallResult result);
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
  upstream::HandoverQueue Handovers;
  upstream::KeyLoad Keys{holdings::KeyCount};
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer LoadTimer;
  core::TimePoint PrunedAt{};
  bool IsTicking = false;
  bool Draining = false;
  std::optional<core::TimePoint> EndsAt;
  std::unordered_map<upstream::Ticket, OrderRun> Orders;
  upstream::Ticket NextTicket = 1;
  double ColdRate = 0;
  std::string ServiceName;
  bool IsKeyed = false;
  /// Set when connections broke: the upstream may have started anew.
  std::optional<core::TimePoint> RestartSuspectedAt;
};

} // namespace acaciaroad::proxy

#endif
