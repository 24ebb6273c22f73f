#include "Wire/PeerConnection.h"

#include <cstring>
#include <utility>

namespace acaciaroad::wire {

namespace {

/// Payloads from this size on are passed to libzmq without a copy.
constexpr std::size_t CopyLimitBytes = 1024;

/// From the connect deadline on, for libzmq's thread to take a handshake that
/// came during a pause of the process.
constexpr std::chrono::milliseconds OverdueGrace{100};

constexpr int MonitoredEvents =
    ZMQ_EVENT_DISCONNECTED | ZMQ_EVENT_CONNECT_RETRIED |
    ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
    ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;

void freeString(void * /*data*/, void *hint) {
  delete static_cast<std::string *>(hint);
}

zmq::message_t toFrame(std::string &&payload) {
  if (payload.size() < CopyLimitBytes)
    return {payload.data(), payload.size()};
  auto *owned = new std::string(std::move(payload));
  return {owned->data(), owned->size(), &freeString, owned};
}

int countOf(std::chrono::milliseconds time) {
  return static_cast<int>(time.count());
}

void configure(zmq::socket_t &dealer, const PeerConnectionOptions &options) {
  dealer.set(zmq::sockopt::linger, 0);
  dealer.set(zmq::sockopt::immediate, true);
  dealer.set(zmq::sockopt::sndhwm, options.HighWaterMark);
  dealer.set(zmq::sockopt::heartbeat_ivl, countOf(options.HeartbeatInterval));
  dealer.set(zmq::sockopt::heartbeat_timeout,
             countOf(options.HeartbeatTimeout));
  dealer.set(zmq::sockopt::heartbeat_ttl, countOf(options.SilenceLimit));
  dealer.set(zmq::sockopt::connect_timeout, countOf(options.ConnectTimeout));
  if (!options.Curve)
    return;
  dealer.set(zmq::sockopt::curve_serverkey, options.Curve->PublicKey);
  dealer.set(zmq::sockopt::curve_publickey, options.Curve->PublicKey);
  dealer.set(zmq::sockopt::curve_secretkey, options.Curve->SecretKey);
}

} // namespace

PeerConnection::PeerConnection(zmq::context_t &context, std::string address,
                               Channel channel,
                               const PeerConnectionOptions &options,
                               core::TimePoint now)
    : Address(std::move(address)), On(channel),
      PendingLimit(options.PendingLimit),
      Dealer(context, zmq::socket_type::dealer),
      Monitor(context, zmq::socket_type::pair), LastUsed(now),
      ConnectDeadline(now + options.ConnectTimeout) {
  configure(Dealer, options);
  Monitor.set(zmq::sockopt::linger, 0);
  const std::string endpoint =
      "inproc://monitor-" + std::to_string(core::randomId());
  if (zmq_socket_monitor(Dealer.handle(), endpoint.c_str(), MonitoredEvents) !=
      0)
    throw zmq::error_t();
  Monitor.connect(endpoint);
  Dealer.connect("tcp://" + Address);
  // The descriptor signals only what comes after a first look.
  readMonitor();
}

int PeerConnection::sendDescriptor() const {
  return Dealer.get(zmq::sockopt::fd);
}

int PeerConnection::monitorDescriptor() const {
  return Monitor.get(zmq::sockopt::fd);
}

bool PeerConnection::send(const std::string &envelope, PeerMessage &message,
                          core::TimePoint now) {
  LastUsed = now;
  if (Pending.empty() && trySend(envelope, message))
    return true;
  if (Pending.size() >= PendingLimit)
    return false;
  Pending.push_back({envelope, std::move(message)});
  return true;
}

bool PeerConnection::trySend(const std::string &envelope,
                             PeerMessage &message) {
  const bool hasPayload = !message.Payload.empty();
  const auto more =
      hasPayload ? zmq::send_flags::sndmore : zmq::send_flags::none;
  zmq::message_t head(envelope.data(), envelope.size());
  if (!Dealer.send(head, zmq::send_flags::dontwait | more))
    return false;
  ++Sent;
  if (!hasPayload)
    return true;
  // libzmq takes the parts of one message whole, so this cannot block.
  zmq::message_t payload = toFrame(std::move(message.Payload));
  Dealer.send(payload, zmq::send_flags::dontwait);
  return true;
}

void PeerConnection::flush() {
  // Reading the events makes libzmq process what its descriptor signalled.
  (void)Dealer.get(zmq::sockopt::events);
  while (!Pending.empty() &&
         trySend(Pending.front().Envelope, Pending.front().Message))
    Pending.pop_front();
}

PeerConnection::State PeerConnection::check(core::TimePoint now) {
  readMonitor();
  if (Now != State::Connecting || now < ConnectDeadline)
    return Now;
  if (std::exchange(IsOverdue, true))
    Now = State::Lost;
  else
    ConnectDeadline = now + OverdueGrace;
  return Now;
}

void PeerConnection::readMonitor() {
  (void)Monitor.get(zmq::sockopt::events);
  zmq::message_t event;
  while (Monitor.recv(event, zmq::recv_flags::dontwait)) {
    std::uint16_t kind = 0;
    if (event.size() >= sizeof kind)
      std::memcpy(&kind, event.data(), sizeof kind);
    zmq::message_t endpoint;
    if (event.more())
      (void)Monitor.recv(endpoint, zmq::recv_flags::dontwait);
    if (kind != ZMQ_EVENT_HANDSHAKE_SUCCEEDED)
      Now = State::Lost;
    else if (Now == State::Connecting)
      Now = State::Connected;
  }
}

void PeerConnection::lingerFor(int milliseconds) {
  Dealer.set(zmq::sockopt::linger, milliseconds);
}

std::deque<PeerMessage> PeerConnection::takeUnsent() {
  std::deque<PeerMessage> out;
  for (Waiting &it : Pending)
    out.push_back(std::move(it.Message));
  Pending.clear();
  return out;
}

} // namespace acaciaroad::wire
