/// \file
/// Takes callers' requests on the instance where they begin.

#ifndef ACACIAROAD_PROXY_ENTRYSERVICE_H
#define ACACIAROAD_PROXY_ENTRYSERVICE_H

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Accounts/AccountShares.h"
#include "Logging/Logger.h"
#include "Net/HttpServer.h"
#include "Proxy/CreditExchange.h"
#include "Proxy/PeerClients.h"
#include "Proxy/TrafficCounters.h"
#include "Proxy/UpstreamService.h"
#include "Requests/AttemptPlan.h"
#include "Requests/LoadBalancer.h"
#include "Requests/RetryBudget.h"
#include "Requests/StoppingNodes.h"
#include "Routing/TrafficSplit.h"

namespace acaciaroad::proxy {

class ProxiedRequest;

/// Bounds that operators set for the fleet.
struct EntryLimits {
  /// Keys of client accounts are honoured while a configuration that was asked
  /// for less than this ago has them.
  core::Duration KeyFreshness{};
  /// Operators measure accounts over it; read once, at the start.
  core::Duration AccountWindow{};
  /// Further attempts for each request.
  double RetryRatio = 0;
  /// Further attempts of the whole fleet that need no traffic.
  double RetryAllowance = 0;
};

/// What sets the deadline of a request.
enum class DeadlineLimit : std::uint8_t { Caller, Route, NodeStop };

/// Returns the name of \p limit for logs.
std::string_view toString(DeadlineLimit limit);

/// The instance that the node runs on.
struct EntryIdentity {
  std::string Node;
  std::string DataCentre;
  std::string Service;
};

/// Finds route, account and upstream of each request. All members are called on
/// the traffic thread.
class EntryService {
public:
  EntryService(boost::asio::io_context &loop, EntryIdentity identity,
               EntryLimits limits, HeaderCodec codec,
               std::shared_ptr<logging::Logger> logger,
               TrafficCounters &counters, UpstreamService &own);

  void setView(std::shared_ptr<const TrafficView> view);
  void setLimits(const EntryLimits &limits) { Limits = limits; }

  /// The newest configuration was asked for at \p asked.
  void configurationConfirmed(core::TimePoint asked) {
    ConfirmedAt = std::max(ConfirmedAt, asked);
  }

  /// The node stops at \p end: requests that come get no more time than that.
  void stopAt(core::TimePoint end) { EndsAt = end; }

  /// New requests are refused from now on.
  void beginDrain() { Draining = true; }

  /// Answers all open requests: those that wait for the upstream beside the
  /// node as not run, what is under way as unknown.
  void failOpenRequests();

  void handle(const std::shared_ptr<net::Exchange> &exchange);

  /// Lets the node borrow shares of accounts at \p listen. Fails with
  /// InvalidArgument if the address cannot be bound.
  core::Result<void> openCreditExchange(const core::Endpoint &listen);

private:
  friend class ProxiedRequest;

  /// What is known of one service's peers.
  struct ServiceState {
    requests::LoadBalancer Choice;
    requests::RetryBudget Budget;
  };

  bool isFresh(core::TimePoint now) const;
  /// Answers on behalf of this node.
  void refuse(net::Exchange &exchange, core::ErrorKind reason,
              core::Duration retryAfter, std::string_view detail);
  core::Result<const routing::ClientAccount *>
  authenticate(const routing::Route &route, const CallerFields &caller,
               core::TimePoint now) const;
  /// A request of \p account, which may be null, is refused and has not run.
  void refundCredit(const routing::ClientAccount *account);
  /// Asks other nodes for credit before it refuses.
  void borrow(const std::shared_ptr<net::Exchange> &exchange,
              const CallerFields &caller, const routing::Route &route,
              const routing::ClientAccount &account);
  /// \p view holds route and account; it may no longer be the newest.
  void run(const std::shared_ptr<net::Exchange> &exchange,
           const CallerFields &caller, std::shared_ptr<const TrafficView> view,
           const routing::Route &route, const routing::ClientAccount *account);
  ServiceState *stateOf(std::string_view service);
  void refreshCandidates(core::TimePoint now);

  boost::asio::io_context &Loop;
  EntryIdentity Identity;
  EntryLimits Limits;
  HeaderCodec Codec;
  std::shared_ptr<logging::Logger> Log;
  TrafficCounters &Counters;
  UpstreamService &Upstream;
  PeerClients Peers;
  std::shared_ptr<const TrafficView> View;
  core::TimePoint ConfirmedAt{};
  bool Draining = false;
  std::optional<core::TimePoint> EndsAt;
  /// Requests without an answer.
  std::set<std::shared_ptr<ProxiedRequest>> Open;
  accounts::AccountShares Shares;
  std::unique_ptr<CreditExchange> Credit;
  routing::TrafficSplit Split;
  requests::StoppingNodes Stopping;
  std::map<std::string, ServiceState, std::less<>> Services;
};

} // namespace acaciaroad::proxy

#endif
