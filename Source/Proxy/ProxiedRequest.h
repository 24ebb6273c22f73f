/// \file
/// One caller's request on its entry node, with all attempts to forward it.

#ifndef ACACIAROAD_PROXY_PROXIEDREQUEST_H
#define ACACIAROAD_PROXY_PROXIEDREQUEST_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Net/Timeout.h"
#include "Proxy/EntryService.h"

namespace acaciaroad::proxy {

/// Sends a request to one upstream after the other until it is answered or
/// fails. Keeps itself alive while an attempt or the timer is pending.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
public:
  /// \p plan was made for \p route and \p deadline; \p view owns route and
  /// account.
  ProxiedRequest(EntryService &entry, std::shared_ptr<net::Exchange> exchange,
                 const CallerFields &caller,
                 std::shared_ptr<const TrafficView> view,
                 const routing::Route &route,
                 const routing::ClientAccount *account, std::string service,
                 requests::AttemptPlan plan, core::TimePoint deadline,
                 DeadlineLimit limit);

  void start();

  /// Answers the request at once, even if an attempt is in flight.
  void failForNodeStop();

private:
  void attempt();
  const Peer *choosePeer(core::TimePoint now);
  /// Chooses the version and an instance of it; sets IsNextVersion.
  std::optional<core::InstanceId>
  chooseInstance(EntryService::ServiceState &state, core::TimePoint now);
  /// Returns the balancer of the version that the latest attempt went to.
  requests::LoadBalancer &balancerOf(EntryService::ServiceState &state) const;
  /// Counts the outcome of the first attempt for the version it went to.
  void countForVersion(requests::AttemptOutcome outcome, unsigned status,
                       core::TimePoint now);
  Order makeOrder(const Peer &peer);
  void onAttemptEnded(std::uint64_t number, OrderResult result);
  bool mayTryElsewhere(const ForwardOutcome &outcome) const;
  /// Whether the refusal names another node as holder of the key, and that node
  /// may still be tried.
  bool hasKeyMoved(const ForwardOutcome &outcome) const;
  void answer(net::HttpResponse response);
  void fail(core::ErrorKind reason);
  void onCallerLeft();
  void cancelAttempt();
  /// Withdraws the order if it is still queued for this node's upstream.
  /// Returns whether it did; the order has not run then.
  bool withdrawOrder();
  void onDeadline();
  /// Keeps \p call until a late answer comes or its timeout passes. The
  /// connection can be reused after an answer, but not after a cancelled call.
  void awaitLateAnswer(std::shared_ptr<net::ClientCall> call);
  /// \p isKept is whether a kept connection was used, if that is known.
  void logForwardFailed(core::ErrorKind reason, std::string_view detail,
                        std::optional<bool> isKept);
  /// Logs that this node ends the request without waiting any longer.
  void logGivenUp(std::string_view cause);
  void finish();

  EntryService &Entry;
  std::shared_ptr<net::Exchange> Exchange;
  /// Owns Route and Account.
  std::shared_ptr<const TrafficView> View;
  const routing::Route &Route;
  const routing::ClientAccount *Account;
  std::string Service;
  requests::AttemptPlan Plan;
  core::TimePoint Deadline;
  DeadlineLimit Limit;
  net::Timeout Timer;
  std::string RequestId;
  std::optional<holdings::Key> Key;
  /// Rank of a call that an upstream makes for a request that it runs; nothing
  /// for other requests.
  std::optional<std::int32_t> NestedRank;
  std::vector<core::InstanceId> Tried;
  /// Number of the latest attempt; 0 before the first.
  std::uint64_t Attempt = 0;
  /// The latest attempt goes to the new version of a roll-out.
  bool IsNextVersion = false;
  core::InstanceId TargetInstance;
  std::string TargetNode;
  /// Node that holds the key now, as its former holder reported; may be empty.
  std::string Holder;
  core::TimePoint SentAt{};
  std::shared_ptr<net::ClientCall> Call;
  std::optional<upstream::Ticket> Ticket;
  core::Duration RetryAfter{};
  /// Why the latest attempt that got no answer failed.
  std::optional<core::ErrorKind> UnansweredReason;
  int Redirects = 0;
  bool IsOver = false;
};

} // namespace acaciaroad::proxy

#endif
