#include "Wire/TransportLoop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <vector>

#include <sys/epoll.h>
#include <unistd.h>

#include "Wire/Envelope.h"

namespace acaciaroad::wire {

namespace {

/// Tags of the descriptors that are not a peer's. Connection ids start above.
constexpr std::uint64_t RouterTag = 0;
constexpr std::uint64_t QueueTag = 1;
constexpr std::uint64_t AuthenticatorTag = 2;
constexpr std::uint64_t FirstConnectionId = 8;

/// A connection has two descriptors: tag = 2 * id + which.
constexpr std::uint64_t SendSide = 0;
constexpr std::uint64_t MonitorSide = 1;

/// Messages received before the send queue is looked at again.
constexpr int ReceiveBatch = 256;
constexpr std::size_t EventBatch = 64;
/// Wait for the last messages when the transport stops.
constexpr int StopLingerMilliseconds = 200;
constexpr std::string_view TcpPrefix = "tcp://";

void count(std::atomic<std::uint64_t> &counter) {
  counter.fetch_add(1, std::memory_order_relaxed);
}

std::string_view viewOf(const zmq::message_t &part) {
  return {part.data<char>(), part.size()};
}

} // namespace

TransportLoop::TransportLoop(const PeerTransportOptions &options,
                             const PeerTransportHooks &hooks, SendQueue &queue)
    : Options(options), Hooks(hooks), Queue(queue), Context(1),
      Router(Context, zmq::socket_type::router),
      Epoll(::epoll_create1(EPOLL_CLOEXEC)), LastId(FirstConnectionId) {}

TransportLoop::~TransportLoop() {
  if (Epoll >= 0)
    ::close(Epoll);
}

std::string TransportLoop::bind() {
  Router.set(zmq::sockopt::linger, 0);
  Router.set(zmq::sockopt::rcvhwm, Options.Connection.HighWaterMark);
  Router.set(zmq::sockopt::maxmsgsize, Options.MessageLimitBytes);
  if (Options.Connection.Curve) {
    Authenticator.emplace(Context, Options.Connection.Curve->PublicKey);
    Router.set(zmq::sockopt::zap_domain, "acaciaroad");
    Router.set(zmq::sockopt::curve_server, true);
    Router.set(zmq::sockopt::curve_secretkey,
               Options.Connection.Curve->SecretKey);
  }
  Router.bind(std::string(TcpPrefix) + Options.ListenAddress);
  std::string endpoint = Router.get(zmq::sockopt::last_endpoint);
  return endpoint.substr(TcpPrefix.size());
}

void TransportLoop::run(const std::string &replyAddress) {
  ReplyAddress = replyAddress;
  watch(Router.get(zmq::sockopt::fd), RouterTag);
  watch(Queue.descriptor(), QueueTag);
  if (Authenticator)
    watch(Authenticator->descriptor(), AuthenticatorTag);
  // What came in between bind() and here has no signal of its own.
  MoreToReceive = true;
  while (!Queue.isClosed())
    waitAndServe();
  Now = core::BootClock::now();
  sendQueued();
  closeAll();
}

PeerTransportCounters TransportLoop::counters() const {
  PeerTransportCounters out;
  out.Sent = Counters.Sent;
  out.Received = Counters.Received;
  out.Corrupt = Counters.Corrupt;
  out.Undelivered = Counters.Undelivered;
  out.PeersLost = Counters.PeersLost;
  out.PeersRefused = Counters.PeersRefused;
  out.OpenConnections = Counters.OpenConnections;
  out.WakeUps = Counters.WakeUps;
  return out;
}

void TransportLoop::watch(int descriptor, std::uint64_t tag) const {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = tag;
  ::epoll_ctl(Epoll, EPOLL_CTL_ADD, descriptor, &event);
}

void TransportLoop::unwatch(int descriptor) const {
  ::epoll_ctl(Epoll, EPOLL_CTL_DEL, descriptor, nullptr);
}

int TransportLoop::waitMilliseconds() const {
  if (MoreToReceive)
    return 0;
  if (NextSweep == core::TimePoint::max())
    return -1;
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      NextSweep - core::BootClock::now());
  return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

void TransportLoop::waitAndServe() {
  std::array<epoll_event, EventBatch> events{};
  const int n =
      ::epoll_wait(Epoll, events.data(), EventBatch, waitMilliseconds());
  count(Counters.WakeUps);
  Now = core::BootClock::now();
  for (int it = 0; it < n; ++it)
    serve(events[static_cast<std::size_t>(it)].data.u64);
  if (MoreToReceive)
    receiveSome();
  if (Now >= NextSweep)
    sweep();
}

void TransportLoop::serve(std::uint64_t tag) {
  if (tag == QueueTag)
    return sendQueued();
  if (tag == AuthenticatorTag) {
    Authenticator->handle();
    Counters.PeersRefused = Authenticator->refused();
    return;
  }
  if (tag == RouterTag) {
    (void)Router.get(zmq::sockopt::events);
    MoreToReceive = true;
    return;
  }
  const ConnectionId id = tag / 2;
  const auto it = Connections.find(id);
  if (it == Connections.end())
    return;
  if (tag % 2 == SendSide)
    it->second->flush();
  else
    checkConnection(id);
}

void TransportLoop::sendQueued() {
  for (OutgoingMessage &it : Queue.takeAll())
    sendOne(it);
}

void TransportLoop::sendOne(OutgoingMessage &out) {
  PeerConnection *peer = connectionTo(out.Address, out.Message.On);
  if (peer == nullptr)
    return reportUndelivered(out.Address, out.Message);
  const std::string envelope = encodeEnvelope(
      Options.Self, ReplyAddress, out.Message.On, out.Message.Header);
  if (!peer->send(envelope, out.Message, Now))
    return reportUndelivered(out.Address, out.Message);
  count(Counters.Sent);
}

PeerConnection *TransportLoop::connectionTo(const std::string &address,
                                            Channel channel) {
  const PeerKey key{address, channel};
  const auto known = ByPeer.find(key);
  if (known != ByPeer.end())
    return Connections.at(known->second).get();
  const auto failed = FailedUntil.find(key);
  if (failed != FailedUntil.end() && Now < failed->second)
    return nullptr;
  try {
    return Connections.at(connect(address, channel)).get();
  } catch (const zmq::error_t & /*ec*/) {
    FailedUntil[key] = Now + Options.RetryDelay;
    return nullptr;
  }
}

TransportLoop::ConnectionId TransportLoop::connect(const std::string &address,
                                                   Channel channel) {
  auto peer = std::make_unique<PeerConnection>(Context, address, channel,
                                               Options.Connection, Now);
  const ConnectionId id = ++LastId;
  watch(peer->sendDescriptor(), 2 * id + SendSide);
  watch(peer->monitorDescriptor(), 2 * id + MonitorSide);
  NextSweep = std::min(NextSweep, peer->connectDeadline());
  ByPeer[{address, channel}] = id;
  Connections.emplace(id, std::move(peer));
  Counters.OpenConnections = Connections.size();
  return id;
}

void TransportLoop::checkConnection(ConnectionId id) {
  PeerConnection &peer = *Connections.at(id);
  if (peer.check(Now) == PeerConnection::State::Lost)
    loseConnection(id);
}

void TransportLoop::loseConnection(ConnectionId id) {
  PeerConnection &peer = *Connections.at(id);
  const std::string address = peer.address();
  const Channel channel = peer.channel();
  const bool hasSent = peer.sentMessages() > 0;
  const auto unsent = peer.takeUnsent();
  if (!hasSent)
    FailedUntil[{address, channel}] = Now + Options.RetryDelay;
  eraseConnection(id);
  for (const PeerMessage &it : unsent)
    reportUndelivered(address, it);
  if (!hasSent)
    return;
  count(Counters.PeersLost);
  if (Hooks.OnPeerLost)
    Hooks.OnPeerLost(address, channel);
}

void TransportLoop::eraseConnection(ConnectionId id) {
  const auto it = Connections.find(id);
  PeerConnection &peer = *it->second;
  unwatch(peer.sendDescriptor());
  unwatch(peer.monitorDescriptor());
  ByPeer.erase({peer.address(), peer.channel()});
  Connections.erase(it);
  Counters.OpenConnections = Connections.size();
}

void TransportLoop::reportUndelivered(std::string_view address,
                                      const PeerMessage &message) {
  count(Counters.Undelivered);
  if (Hooks.OnUndelivered)
    Hooks.OnUndelivered(address, message);
}

void TransportLoop::sweep() {
  std::vector<ConnectionId> ids;
  for (const auto &it : Connections)
    ids.push_back(it.first);
  NextSweep = core::TimePoint::max();
  for (const ConnectionId id : ids) {
    PeerConnection &peer = *Connections.at(id);
    const core::TimePoint idleAt = peer.lastUsed() + Options.IdleTimeout;
    if (peer.check(Now) == PeerConnection::State::Lost)
      loseConnection(id);
    else if (Now >= idleAt && !peer.hasPending())
      eraseConnection(id);
    else
      NextSweep =
          std::min(NextSweep, peer.isConnected() ? std::max(idleAt, Now)
                                                 : peer.connectDeadline());
  }
  std::erase_if(FailedUntil,
                [this](const auto &it) { return Now >= it.second; });
}

void TransportLoop::closeAll() {
  while (!Connections.empty()) {
    const ConnectionId id = Connections.begin()->first;
    PeerConnection &peer = *Connections.at(id);
    const std::string address = peer.address();
    const auto unsent = peer.takeUnsent();
    peer.lingerFor(StopLingerMilliseconds);
    eraseConnection(id);
    for (const PeerMessage &it : unsent)
      reportUndelivered(address, it);
  }
  // Without a handler libzmq takes any peer, so the ROUTER is closed first.
  Router.close();
  Authenticator.reset();
  Context.close();
}

void TransportLoop::receiveSome() {
  MoreToReceive = true;
  for (int n = 0; n < ReceiveBatch && MoreToReceive; ++n)
    MoreToReceive = receiveOne();
}

bool TransportLoop::receiveOne() {
  zmq::message_t identity;
  if (!Router.recv(identity, zmq::recv_flags::dontwait))
    return false;
  std::array<zmq::message_t, 2> parts;
  std::size_t n = 0;
  bool more = identity.more();
  while (more) {
    zmq::message_t surplus;
    zmq::message_t &part = n < parts.size() ? parts[n] : surplus;
    (void)Router.recv(part, zmq::recv_flags::dontwait);
    more = part.more();
    ++n;
  }
  if (n == 1 || n == parts.size())
    handOver(viewOf(parts[0]), viewOf(parts[1]));
  else
    count(Counters.Corrupt);
  return true;
}

void TransportLoop::handOver(std::string_view envelope,
                             std::string_view payload) {
  const core::Result<Envelope> decoded = decodeEnvelope(envelope);
  if (!decoded)
    return count(Counters.Corrupt);
  count(Counters.Received);
  if (!Hooks.OnMessage)
    return;
  Hooks.OnMessage(PeerMessageView{decoded->Sender, decoded->ReplyAddress,
                                  decoded->On, decoded->Header, payload});
}

} // namespace acaciaroad::wire
