/// \file
/// Handles callers' requests on the instance where they originate.

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
#include "Rollouts/VersionTraffic.h"
#include "Routing/TrafficSplit.h"

namespace acaciaroad::proxy {

class ProxiedRequest;

/// Limits that operators set for the fleet.
struct EntryLimits {
  /// Keys of client accounts are accepted only if the newest configuration was
  /// requested less than this time ago. Absent if they are always accepted.
  std::optional<core::Duration> KeyFreshness;
  /// A request without a route is answered as such only if the newest
  /// configuration was requested less than this time ago.
  core::Duration RouteFreshness{};
  /// Window over which operators measure the rate of an account; absent if
  /// rates are not limited. Read only at startup.
  std::optional<core::Duration> AccountWindow;
  /// Retries that the fleet may make per request.
  double RetryRatio = 0;
  /// Retries that the whole fleet may make independent of its traffic.
  double RetryAllowance = 0;
};

/// What limits the deadline of a request.
enum class DeadlineLimit : std::uint8_t { Caller, Route, NodeStop };

/// Returns the name of \p limit for logs.
std::string_view toString(DeadlineLimit limit);

/// The instance that the node runs on.
struct EntryIdentity {
  std::string Node;
  std::string DataCentre;
  std::string Service;
};

/// Authenticates each request, charges its client account and forwards it by
/// its route. All members are called on the traffic thread.
class EntryService {
public:
  EntryService(boost::asio::io_context &loop, EntryIdentity identity,
               EntryLimits limits, HeaderCodec codec,
               std::shared_ptr<logging::Logger> logger,
               TrafficCounters &counters, UpstreamService &own);

  void setView(std::shared_ptr<const TrafficView> view);
  void setLimits(const EntryLimits &limits) { Limits = limits; }

  /// Records that the newest configuration was requested at \p asked.
  void configurationConfirmed(core::TimePoint asked) {
    ConfirmedAt = std::max(ConfirmedAt, asked);
  }

  /// Records that the node stops at \p end. New requests get no later deadline.
  void stopAt(core::TimePoint end) { EndsAt = end; }

  /// Refuses new requests from now on.
  void beginDrain() { Draining = true; }

  /// Answers all open requests: those still queued for this node's upstream as
  /// not run, those in flight with an unknown outcome.
  void failOpenRequests();

  void handle(const std::shared_ptr<net::Exchange> &exchange);

  /// Starts to borrow and lend account credit at the address \p listen. Fails
  /// with InvalidArgument if the address cannot be bound.
  core::Result<void> openCreditExchange(const core::Endpoint &listen);

  /// Requests divided between the versions of services.
  const rollouts::VersionTraffic &versions() const { return Versions; }

private:
  friend class ProxiedRequest;

  /// Load-balancing and retry state of one service.
  struct ServiceState {
    /// Of all instances, or of the former versions while a roll-out runs.
    requests::LoadBalancer Choice;
    /// Of the new version while a roll-out runs.
    std::optional<requests::LoadBalancer> Next;
    /// Next gets all requests.
    bool IsNextTaken = false;
    requests::RetryBudget Budget;
  };

  /// Whether the newest configuration was requested less than \p age ago.
  bool isConfirmedWithin(core::Duration age, core::TimePoint now) const;
  /// Answers with the error \p reason. \p detail is only logged.
  void refuse(net::Exchange &exchange, core::ErrorKind reason,
              core::Duration retryAfter, std::string_view detail);
  /// Returns the client account of a request, or null if it needs none.
  core::Result<const routing::ClientAccount *>
  authenticate(const routing::Route &route, const CallerFields &caller,
               core::TimePoint now) const;
  /// Returns the credit of a request that is refused without having run.
  /// \p account may be null.
  void refundCredit(const routing::ClientAccount *account);
  /// Runs the request if another node lends credit for it, else refuses it.
  void borrow(const std::shared_ptr<net::Exchange> &exchange,
              const CallerFields &caller, const routing::Route &route,
              const routing::ClientAccount &account);
  /// Picks a service and forwards the request. \p view owns route and account;
  /// it may no longer be the newest view.
  void run(const std::shared_ptr<net::Exchange> &exchange,
           const CallerFields &caller, std::shared_ptr<const TrafficView> view,
           const routing::Route &route, const routing::ClientAccount *account);
  ServiceState *stateOf(std::string_view service);
  void refreshCandidates(core::TimePoint now);
  /// Sets the candidates of both versions of \p service, or of all instances.
  void setCandidates(ServiceState &state, std::string_view name,
                     const ServiceView &service);
  core::Result<requests::LoadBalancer> makeBalancer() const;

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
  /// Requests that are not answered yet.
  std::set<std::shared_ptr<ProxiedRequest>> Open;
  accounts::AccountShares Shares;
  std::unique_ptr<CreditExchange> Credit;
  routing::TrafficSplit Split;
  requests::StoppingNodes Stopping;
  std::map<std::string, ServiceState, std::less<>> Services;
  rollouts::VersionTraffic Versions;
};

} // namespace acaciaroad::proxy

#endif
