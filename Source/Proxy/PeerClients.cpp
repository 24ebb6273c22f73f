#include "Proxy/PeerClients.h"

#include <set>
#include <utility>

namespace acaciaroad::proxy {

using requests::AttemptOutcome;
using std::chrono::milliseconds;

namespace {

/// Nodes are a few milliseconds apart. A node that does not accept in this time
/// counts as unreachable, early enough to send the request elsewhere.
constexpr core::Duration ConnectTimeout = milliseconds(150);

/// Enough for several retransmissions between nodes that are milliseconds
/// apart.
constexpr core::Duration SendTimeout = milliseconds(700);

/// Less than the idle timeout of the nodes' servers.
constexpr core::Duration IdleLimit = std::chrono::seconds(10);

/// Bodies of at least this size need a permit. They take 13 ms or more at
/// 10 Mbit/s, longer than the request for a permit.
constexpr std::size_t LargeBodyBytes = 16U << 10U;

constexpr std::uint64_t MaxAnswerBytes = 16U << 20U;

/// Well below the time after which servers close idle connections.
constexpr core::Duration PruneInterval = std::chrono::seconds(5);

/// Per peer; far more than the requests in flight between two nodes.
constexpr std::size_t MaxConnections = 256;

OrderResult toOrderResult(net::CallResult call) {
  OrderResult out;
  out.Detail = call.Detail;
  out.IsKept = call.IsKept;
  switch (call.End) {
  case net::CallEnd::NotSent:
    out.Outcome.Outcome = AttemptOutcome::NotSent;
    out.Outcome.Reason = call.IsHeldBack ? core::ErrorKind::DeadlineTooShort
                                         : core::ErrorKind::PeerUnreachable;
    break;
  case net::CallEnd::Broken:
    out.Outcome.Outcome = AttemptOutcome::SentNoAnswer;
    out.Outcome.Reason = call.IsTooLarge ? core::ErrorKind::AnswerTooLarge
                                         : core::ErrorKind::OutcomeUnknown;
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

/// Writes the metadata of \p order. To be called just before \p to is sent, as
/// it contains the time left. Returns false if none is left.
bool writeForwardingFields(net::HttpFields &to, const Order &order,
                           const HeaderCodec &codec) {
  const auto now = core::BootClock::now();
  if (now >= order.Deadline)
    return false;
  writeForward(to, {order.Service, order.WorkClass, order.Rank, order.Kind,
                    order.Target - now});
  codec.WriteOrder(to, {order.Deadline - now, order.ExpectedUpstream,
                        order.Account, order.CallerService});
  return true;
}

net::ClientOptions makeOptions(std::shared_ptr<net::AnswerMemory> memory) {
  net::ClientOptions out;
  out.ConnectTimeout = ConnectTimeout;
  out.SendTimeout = SendTimeout;
  out.IdleLimit = IdleLimit;
  out.BodyBytes = MaxAnswerBytes;
  out.MostConnections = MaxConnections;
  out.Memory = std::move(memory);
  out.CloseEndsIdle = true;
  return out;
}

/// Requests a permit before it sends a large body, so that a refused body is
/// not transferred. Keeps itself alive while a call is in flight.
class LargeBodyCall : public net::ClientCall,
                      public std::enable_shared_from_this<LargeBodyCall> {
public:
  /// \p codec has to outlive the call.
  LargeBodyCall(std::shared_ptr<net::HttpClient> client, Order order,
                const HeaderCodec &codec, OrderHandler handler)
      : Client(std::move(client)), Data(std::move(order)), Codec(codec),
        Handler(std::move(handler)) {}

  void start() {
    CurrentCall =
        Client->send(makePermitRequest(Data.Request.body().size()),
                     [self = shared_from_this()](net::CallResult result) {
                       self->onPermit(std::move(result));
                     });
  }

  void cancel() override {
    Handler = nullptr;
    if (const auto call = std::exchange(CurrentCall, nullptr))
      call->cancel();
  }

private:
  void onPermit(net::CallResult result) {
    if (!Handler)
      return;
    const std::uint64_t permit =
        result.End == net::CallEnd::Answered ? readPermit(result.Response) : 0;
    if (permit == 0) {
      CurrentCall.reset();
      // Only the permit request has been sent, nothing of the order itself.
      if (result.End == net::CallEnd::Broken)
        result.End = net::CallEnd::NotSent;
      std::exchange(Handler, nullptr)(toOrderResult(std::move(result)));
      return;
    }
    writePermit(Data.Request, permit);
    CurrentCall = Client->send(
        std::move(Data.Request),
        [self = shared_from_this()](net::CallResult answer) {
          self->CurrentCall.reset();
          if (const auto handler = std::exchange(self->Handler, nullptr))
            handler(toOrderResult(std::move(answer)));
        },
        nullptr,
        [self = shared_from_this()](net::HttpFields &fields) {
          return writeForwardingFields(fields, self->Data, self->Codec);
        });
  }

  std::shared_ptr<net::HttpClient> Client;
  Order Data;
  const HeaderCodec &Codec;
  OrderHandler Handler;
  std::shared_ptr<net::ClientCall> CurrentCall;
};

} // namespace

PeerClients::PeerClients(boost::asio::io_context &loop,
                         std::shared_ptr<net::AnswerMemory> memory)
    : Clients(loop, makeOptions(std::move(memory))) {}

void PeerClients::prune(const TrafficView &view, core::TimePoint now) {
  for (const auto &[name, service] : view.Services)
    for (const Peer &it : service.Peers)
      if (it.IsStopping)
        Clients.retire(it.Address);
  if (now - PrunedAt < PruneInterval)
    return;
  PrunedAt = now;
  std::set<core::Endpoint> known;
  for (const auto &[name, service] : view.Services)
    for (const Peer &it : service.Peers)
      known.insert(it.Address);
  Clients.keepOnly(known);
}

std::shared_ptr<net::ClientCall>
PeerClients::send(const core::Endpoint &address, Order order,
                  const HeaderCodec &codec, OrderHandler handler) {
  const auto client = Clients.clientFor(address);
  if (order.Request.body().size() >= LargeBodyBytes) {
    auto call = std::make_shared<LargeBodyCall>(client, std::move(order), codec,
                                                std::move(handler));
    call->start();
    return call;
  }
  auto request = std::move(order.Request);
  return client->send(
      std::move(request),
      [handler = std::move(handler)](net::CallResult result) {
        handler(toOrderResult(std::move(result)));
      },
      nullptr,
      [order = std::move(order), &codec](net::HttpFields &fields) {
        return writeForwardingFields(fields, order, codec);
      });
}

} // namespace acaciaroad::proxy
