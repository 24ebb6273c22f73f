#include "Wire/PeerEndpoint.h"

#include <utility>

namespace acaciaroad::wire {

namespace {

/// Lets parts be built before the transport that they send through; a call may
/// outlive the endpoint, and fails then.
struct SendGate {
  std::mutex Mutex;
  std::weak_ptr<PeerTransport> Transport;

  core::Result<void> send(std::string_view address, PeerMessage message) {
    std::shared_ptr<PeerTransport> transport;
    {
      const std::lock_guard lock(Mutex);
      transport = Transport.lock();
    }
    if (!transport)
      return core::fail(core::ErrorKind::PeerUnreachable, "not started");
    return transport->send(address, std::move(message));
  }

  void open(const std::shared_ptr<PeerTransport> &transport) {
    const std::lock_guard lock(Mutex);
    Transport = transport;
  }
};

} // namespace

core::Result<std::shared_ptr<PeerEndpoint>>
PeerEndpoint::create(PeerEndpointOptions options, PeerEndpointHooks hooks) {
  std::shared_ptr<PeerEndpoint> out(new PeerEndpoint(std::move(hooks)));
  if (core::Result<void> started = out->start(std::move(options)); !started)
    return tl::unexpected(started.error());
  return out;
}

PeerEndpoint::PeerEndpoint(PeerEndpointHooks hooks) : Hooks(std::move(hooks)) {}

PeerEndpoint::~PeerEndpoint() { stop(); }

core::Result<void> PeerEndpoint::start(PeerEndpointOptions options) {
  const auto gate = std::make_shared<SendGate>();
  const SendFunction send = [gate](std::string_view address,
                                   PeerMessage message) {
    return gate->send(address, std::move(message));
  };
  Client = std::make_unique<ForwardClient>(send, options.CallLimit);
  auto server = ForwardServer::create(send, options.Pool, Hooks.OnCall);
  if (!server)
    return tl::unexpected(server.error());
  Server = std::move(*server);
  PeerTransportHooks hooks;
  hooks.OnMessage = [this](const PeerMessageView &it) { receive(it); };
  hooks.OnUndelivered = [this](std::string_view address,
                               const PeerMessage &message) {
    undelivered(address, message);
  };
  hooks.OnPeerLost = [this](std::string_view address, Channel channel) {
    peerLost(address, channel);
  };
  auto transport =
      PeerTransport::create(std::move(options.Transport), std::move(hooks));
  if (!transport)
    return tl::unexpected(transport.error());
  Transport = std::move(*transport);
  gate->open(Transport);
  return {};
}

core::Result<void> PeerEndpoint::sendControl(std::string_view address,
                                             std::string message) {
  return Transport->send(address,
                         PeerMessage{Channel::Control, std::move(message), {}});
}

core::Result<std::shared_ptr<ForwardCall>>
PeerEndpoint::open(std::string_view address, ForwardHead head,
                   std::span<const std::byte> body, bool complete) {
  return Client->open(address, std::move(head), body, complete);
}

void PeerEndpoint::stop() {
  if (Server)
    Server->stop();
  if (Transport)
    Transport->stop();
}

PeerTransportCounters PeerEndpoint::transportCounters() const {
  return Transport->counters();
}

ForwardCounters PeerEndpoint::clientCounters() const {
  return Client->counters();
}

ForwardCounters PeerEndpoint::serverCounters() const {
  return Server->counters();
}

void PeerEndpoint::receive(const PeerMessageView &message) {
  if (message.On == Channel::Control) {
    if (Hooks.OnControl)
      Hooks.OnControl(message);
    return;
  }
  core::Result<ForwardFrame> frame = decodeFrame(message.Header);
  if (!frame) {
    ++Corrupt;
    return;
  }
  if (frame->ToOwner)
    Server->receive(message, std::move(*frame));
  else
    Client->receive(message, std::move(*frame));
}

void PeerEndpoint::undelivered(std::string_view address,
                               const PeerMessage &message) {
  if (message.On == Channel::Control) {
    if (Hooks.OnControlLost)
      Hooks.OnControlLost(address);
    return;
  }
  const core::Result<ForwardFrame> frame = decodeFrame(message.Header);
  if (frame && frame->ToOwner)
    Client->undelivered(*frame);
  else if (frame)
    Server->undelivered(address, *frame);
}

void PeerEndpoint::peerLost(std::string_view address, Channel channel) {
  if (channel == Channel::Control) {
    if (Hooks.OnControlLost)
      Hooks.OnControlLost(address);
    return;
  }
  Client->peerLost(address);
  Server->peerLost(address);
}

} // namespace acaciaroad::wire
