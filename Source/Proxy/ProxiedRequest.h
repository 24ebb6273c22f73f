/// \file
/// One request on its way through the entry node.

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
/// given up. Keeps itself alive while an attempt or its timer is pending.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
public:
  /// \p plan was made for \p route and \p deadline; \p view holds route and
  /// account.
  ProxiedRequest(EntryService &entry, std::shared_ptr<net::Exchange> exchange,
                 const CallerFields &caller,
                 std::shared_ptr<const TrafficView> view,
                 const routing::Route &route,
                 const routing::ClientAccount *account, std::string service,
                 requests::AttemptPlan plan, core::TimePoint deadline,
                 DeadlineLimit limit);

  void start();

  /// Answers the request now, whatever is still under way.
  void failForNodeStop();

private:
  void attempt();
  const Peer *choosePeer(core::TimePoint now);
  Order makeOrder(const Peer &peer);
  void onAttemptEnded(std::uint64_t number, OrderResult result);
  bool mayTryElsewhere(const ForwardOutcome &outcome) const;
  /// Whether the key has another holder than the one that was asked.
  bool hasKeyMoved(const ForwardOutcome &outcome) const;
  void answer(net::HttpResponse response);
  void fail(core::ErrorKind reason);
  void onCallerLeft();
  void cancelAttempt();
  /// Takes the order back if it waits for the own upstream; returns whether it
  /// did, so that it has not run.
  bool withdrawOrder();
  void onDeadline();
  /// Keeps \p call for as long as a late answer takes, which saves its
  /// connection.
  void awaitLateAnswer(std::shared_ptr<net::ClientCall> call);
  /// \p isKept tells whether a kept connection was used, if that is known.
  void logForwardFailed(core::ErrorKind reason, std::string_view detail,
                        std::optional<bool> isKept);
  /// The entry ends the request itself, whatever is still under way.
  void logGivenUp(std::string_view cause);
  void finish();

  EntryService &Entry;
  std::shared_ptr<net::Exchange> Exchange;
  /// Keeps route and account alive.
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
  std::vector<core::InstanceId> Tried;
  /// The attempt under way.
  std::uint64_t Attempt = 0;
  core::InstanceId TargetInstance;
  std::string TargetNode;
  /// Where the key has moved to, as its former holder told; may be empty.
  std::string Holder;
  core::TimePoint SentAt{};
  std::shared_ptr<net::ClientCall> Call;
  std::optional<upstream::Ticket> Ticket;
  core::Duration RetryAfter{};
  /// Why the last attempt that was sent has no answer.
  std::optional<core::ErrorKind> UnansweredReason;
  int Redirects = 0;
  bool IsOver = false;
};

} // namespace acaciaroad::proxy

#endif
