#include "Proxy/PeerClients.h"

#include <set>
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

/// Bodies from this size on, in bytes, ask for room: they take 13 ms through
/// 10 Mbit/s, more than the question.
constexpr std::size_t LargeBody = 16U << 10U;

constexpr std::uint64_t LargestAnswer = 16U << 20U;

/// Well below the time after which servers close idle connections for good.
constexpr core::Duration TidyInterval = std::chrono::seconds(5);

/// To one peer; far above the requests under way between two nodes.
constexpr std::size_t MostConnections = 256;

OrderResult resultOf(net::CallResult call) {
  OrderResult out;
  out.Detail = call.Detail;
  out.IsKept = call.IsKept;
  switch (call.End) {
  case net::CallEnd::NotSent:
    out.Outcome.Outcome = AttemptOutcome::NotSent;
    out.Outcome.Reason = core::ErrorKind::PeerUnreachable;
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

/// Writes how much time is left, just before \p to is sent.
void stamp(net::HttpRequest &to, const Order &order, const Dialect &dialect) {
  const auto now = core::BootClock::now();
  writeForward(to,
               {order.WorkClass, order.Rank, order.Kind, order.Target - now});
  dialect.WriteOrder(to, {order.Deadline - now, order.ExpectedUpstream,
                          order.Account, order.CallerService});
}

net::ClientOptions makeOptions(std::shared_ptr<net::AnswerMemory> memory) {
  net::ClientOptions out;
  out.ConnectTimeout = ConnectTimeout;
  out.SendTimeout = SendTimeout;
  out.IdleLimit = IdleLimit;
  out.BodyBytes = LargestAnswer;
  out.MostConnections = MostConnections;
  out.Memory = std::move(memory);
  out.CloseEndsIdle = true;
  return out;
}

/// Asks for room before it sends a large body, so that one that is refused
/// costs no network. Keeps itself alive while it is under way.
class LargeCall : public net::ClientCall,
                  public std::enable_shared_from_this<LargeCall> {
public:
  /// \p dialect outlives the call.
  LargeCall(std::shared_ptr<net::HttpClient> client, Order order,
            const Dialect &dialect, OrderHandler handler)
      : Client(std::move(client)), Data(std::move(order)), Speech(dialect),
        Handler(std::move(handler)) {}

  void start() {
    Present = Client->send(makeRoomRequest(Data.Request.body().size()),
                           [self = shared_from_this()](net::CallResult result) {
                             self->onRoom(std::move(result));
                           });
  }

  void cancel() override {
    Handler = nullptr;
    if (const auto call = std::exchange(Present, nullptr))
      call->cancel();
  }

private:
  void onRoom(net::CallResult result) {
    if (!Handler)
      return;
    if (core::BootClock::now() >= Data.Deadline) {
      result.End = net::CallEnd::NotSent;
      result.Detail = "no room before the deadline";
    }
    const std::uint64_t room =
        result.End == net::CallEnd::Answered ? readRoom(result.Response) : 0;
    if (room == 0) {
      Present.reset();
      // Nothing of the order has been sent.
      if (result.End == net::CallEnd::Broken)
        result.End = net::CallEnd::NotSent;
      std::exchange(Handler, nullptr)(resultOf(std::move(result)));
      return;
    }
    stamp(Data.Request, Data, Speech);
    writeRoom(Data.Request, room);
    Present = Client->send(std::move(Data.Request),
                           [self = shared_from_this()](net::CallResult answer) {
                             self->Present.reset();
                             if (const auto handler =
                                     std::exchange(self->Handler, nullptr))
                               handler(resultOf(std::move(answer)));
                           });
  }

  std::shared_ptr<net::HttpClient> Client;
  Order Data;
  const Dialect &Speech;
  OrderHandler Handler;
  std::shared_ptr<net::ClientCall> Present;
};

} // namespace

PeerClients::PeerClients(boost::asio::io_context &loop,
                         std::shared_ptr<net::AnswerMemory> memory)
    : Clients(loop, makeOptions(std::move(memory))) {}

void PeerClients::tidy(const TrafficView &view, core::TimePoint now) {
  for (const auto &[name, service] : view.Services)
    for (const Peer &it : service.Peers)
      if (it.IsStopping)
        Clients.retire(it.Address);
  if (now - TidiedAt < TidyInterval)
    return;
  TidiedAt = now;
  std::set<core::Endpoint> known;
  for (const auto &[name, service] : view.Services)
    for (const Peer &it : service.Peers)
      known.insert(it.Address);
  Clients.keepOnly(known);
}

std::shared_ptr<net::ClientCall>
PeerClients::send(const core::Endpoint &address, Order order,
                  const Dialect &dialect, OrderHandler handler) {
  const auto client = Clients.clientFor(address);
  if (order.Request.body().size() >= LargeBody) {
    auto call = std::make_shared<LargeCall>(client, std::move(order), dialect,
                                            std::move(handler));
    call->start();
    return call;
  }
  stamp(order.Request, order, dialect);
  return client->send(std::move(order.Request),
                      [handler = std::move(handler)](net::CallResult result) {
                        handler(resultOf(std::move(result)));
                      });
}

} // namespace acaciaroad::proxy
