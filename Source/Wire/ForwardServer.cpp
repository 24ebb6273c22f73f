#include "Wire/ForwardServer.h"

#include <utility>
#include <variant>

#include "Core/Clock.h"

namespace acaciaroad::wire {

core::Result<std::unique_ptr<ForwardServer>>
ForwardServer::create(SendFunction send, concurrency::WorkerPoolOptions pool,
                      CallHandler onCall) {
  const std::size_t callLimit = pool.Threads + pool.QueueLimit;
  auto threads = concurrency::WorkerPool::create(pool);
  if (!threads)
    return tl::unexpected(threads.error());
  return std::unique_ptr<ForwardServer>(new ForwardServer(
      std::move(send), std::move(*threads), callLimit, std::move(onCall)));
}

ForwardServer::ForwardServer(SendFunction send,
                             std::unique_ptr<concurrency::WorkerPool> pool,
                             std::size_t callLimit, CallHandler onCall)
    : Send(std::move(send)), OnCall(std::move(onCall)), Pool(std::move(pool)),
      Calls(std::make_shared<CallTable>(callLimit)) {}

void ForwardServer::receive(const PeerMessageView &message,
                            ForwardFrame frame) {
  if (std::holds_alternative<OpenFrame>(frame.Kind))
    return open(message, std::move(frame));
  const auto call = Calls->find({message.From, frame.Call});
  if (!call || !call->receive(message.From, std::move(frame), message.Payload))
    ++LateOrCrossed;
}

void ForwardServer::open(const PeerMessageView &message, ForwardFrame frame) {
  if (Stopping)
    return refuse(message, frame, core::ErrorKind::NodeStopping);
  const CallKey key{message.From, frame.Call};
  ForwardCallSetup setup;
  setup.Side = CallSide::Owner;
  setup.Call = frame.Call;
  setup.Head = std::get<OpenFrame>(frame.Kind).Head;
  setup.PeerAddress = message.ReplyAddress;
  setup.Peer = message.From;
  setup.Deadline = core::BootClock::now() + setup.Head.DeadlineRemaining;
  setup.Send = Send;
  auto call = ForwardCall::create(std::move(setup));
  if (!call->receive(message.From, std::move(frame), message.Payload)) {
    ++LateOrCrossed;
    return call->refuse({core::ErrorKind::CorruptMessage, "open frame"});
  }
  if (!Calls->add(key, call)) {
    ++QueueFull;
    return call->refuse({core::ErrorKind::QueueFull, "too many calls"});
  }
  call->setOnClosed([calls = Calls, key] { calls->remove(key); });
  if (!Pool->submit([this, call] { OnCall(call); })) {
    ++QueueFull;
    return call->refuse({core::ErrorKind::QueueFull, "no thread is free"});
  }
  ++Opened;
}

void ForwardServer::refuse(const PeerMessageView &message,
                           const ForwardFrame &frame, core::ErrorKind kind) {
  ForwardFrame out;
  out.Call = frame.Call;
  out.RequestCheck = frame.RequestCheck;
  out.Kind =
      RefusalFrame{std::get<OpenFrame>(frame.Kind).Head.RequestId, {kind, ""}};
  (void)Send(message.ReplyAddress,
             PeerMessage{Channel::Forward, encodeFrame(out), {}});
}

void ForwardServer::undelivered(std::string_view address,
                                const ForwardFrame &frame) {
  for (const auto &it : Calls->withPeer(address))
    if (it->number() == frame.Call)
      it->fail(core::ErrorKind::OutcomeUnknown);
}

void ForwardServer::peerLost(std::string_view address) {
  for (const auto &it : Calls->withPeer(address))
    it->fail(core::ErrorKind::OutcomeUnknown);
}

void ForwardServer::stop() {
  Stopping = true;
  Pool->stop();
}

ForwardCounters ForwardServer::counters() const {
  ForwardCounters out;
  out.Opened = Opened;
  out.LateOrCrossed = LateOrCrossed;
  out.QueueFull = QueueFull;
  out.Running = Calls->size();
  return out;
}

} // namespace acaciaroad::wire
