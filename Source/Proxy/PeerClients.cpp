#include "Proxy/PeerClients.h"

#include <utility>

namespace acaciaroad::proxy {

using requests::AttemptOutcome;
using std::chrono::milliseconds;

namespace {

/// Nodes are some milliseconds apart; a node that doesn't accept within this
/// time is taken as unreachable, while the request can still go elsewhere.
constexpr core::Duration ConnectTimeout = milliseconds(150);

/// Several retransmissions between nodes that are milliseconds apart.
constexpr core::Duration SendTimeout = milliseconds(700);

/// Below the idle timeout of the servers of nodes.
constexpr core::Duration IdleLimit = std::chrono::seconds(10);

constexpr std::uint64_t LargestAnswer = 16U << 20U;

/// To one peer; far above the requests under way between two nodes.
constexpr std::size_t MostConnections = 256;

OrderResult resultOf(net::CallResult call) {
  OrderResult out;
  switch (call.End) {
  case net::CallEnd::NotSent:
    out.Outcome.Outcome = AttemptOutcome::NotSent;
    out.Outcome.Reason = core::ErrorKind::PeerUnreachable;
    break;
  case net::CallEnd::Broken:
    out.Outcome.Outcome = AttemptOutcome::SentNoAnswer;
    out.Outcome.Reason = core::ErrorKind::OutcomeUnknown;
    out.Outcome.ReachedUpstream = true;
    break;
  case net::CallEnd::Answered:
    out.Outcome = readOutcome(call.Response);
    erasePeerFields(call.Response);
    out.Answer = std::move(call.Response);
    break;
  }
  return out;
}

} // namespace

std::shared_ptr<net::HttpClient>
PeerClients::clientFor(const core::Endpoint &address) {
  auto &out = Clients[core::toString(address)];
  if (!out) {
    net::ClientOptions options;
    options.ConnectTimeout = ConnectTimeout;
    options.SendTimeout = SendTimeout;
    options.IdleLimit = IdleLimit;
    options.BodyBytes = LargestAnswer;
    options.MostConnections = MostConnections;
    out = net::HttpClient::create(Loop, address, std::move(options));
  }
  return out;
}

std::shared_ptr<net::ClientCall>
PeerClients::send(const core::Endpoint &address, Order order,
                  const Dialect &dialect, OrderHandler handler) {
  const auto now = core::BootClock::now();
  writeForward(order.Request,
               {order.WorkClass, order.Rank, order.Kind, order.Target - now});
  dialect.WriteOrder(order.Request,
                     {order.Deadline - now, order.ExpectedUpstream,
                      order.Account, order.CallerService});
  return clientFor(address)->send(
      std::move(order.Request),
      [handler = std::move(handler)](net::CallResult result) {
        handler(resultOf(std::move(result)));
      });
}

} // namespace acaciaroad::proxy
