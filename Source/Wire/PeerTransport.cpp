#include "Wire/PeerTransport.h"

#include <utility>

#include <zmq.hpp>

namespace acaciaroad::wire {

core::Result<std::shared_ptr<PeerTransport>>
PeerTransport::create(PeerTransportOptions options, PeerTransportHooks hooks) {
  if (!options.Self)
    return core::fail(core::ErrorKind::InvalidSettings,
                      "the transport needs an instance id");
  std::shared_ptr<PeerTransport> out(
      new PeerTransport(std::move(options), std::move(hooks)));
  if (!out->Queue.isOpen())
    return core::fail(core::ErrorKind::Internal, "no descriptor");
  try {
    out->BoundAddress = out->Loop->bind();
  } catch (const zmq::error_t &ec) {
    return core::fail(core::ErrorKind::InvalidSettings,
                      out->Options.ListenAddress + ": " + ec.what());
  }
  const std::string &advertised = out->Options.AdvertisedAddress;
  out->ReplyAddress = advertised.empty() ? out->BoundAddress : advertised;
  out->Thread =
      std::thread([it = out.get()] { it->Loop->run(it->ReplyAddress); });
  return out;
}

PeerTransport::PeerTransport(PeerTransportOptions options,
                             PeerTransportHooks hooks)
    : Options(std::move(options)), Hooks(std::move(hooks)),
      Queue(Options.QueueLimit),
      Loop(std::make_unique<TransportLoop>(Options, Hooks, Queue)) {}

PeerTransport::~PeerTransport() { stop(); }

core::Result<void> PeerTransport::send(std::string_view address,
                                       PeerMessage message) {
  if (Queue.push({std::string(address), std::move(message)}))
    return {};
  QueueFull.fetch_add(1, std::memory_order_relaxed);
  return core::fail(core::ErrorKind::PeerUnreachable,
                    "the send queue is full or closed");
}

PeerTransportCounters PeerTransport::counters() const {
  PeerTransportCounters out = Loop->counters();
  out.QueueFull = QueueFull;
  return out;
}

void PeerTransport::stop() {
  Queue.close();
  if (Thread.joinable())
    Thread.join();
}

} // namespace acaciaroad::wire
