#include "Wire/ForwardClient.h"

#include <utility>
#include <variant>

#include "Core/Clock.h"
#include "Core/Identifiers.h"

namespace acaciaroad::wire {

namespace {

/// The own calls need no opener's id to be told apart.
CallKey ownKey(std::uint64_t call) { return {core::InstanceId{}, call}; }

} // namespace

ForwardClient::ForwardClient(SendFunction send, std::size_t callLimit)
    : Send(std::move(send)), Calls(std::make_shared<CallTable>(callLimit)),
      NextCall(core::randomId()) {}

core::Result<std::shared_ptr<ForwardCall>>
ForwardClient::open(std::string_view address, ForwardHead head,
                    std::span<const std::byte> body, bool complete) {
  const CallKey key = ownKey(NextCall.fetch_add(1, std::memory_order_relaxed));
  ForwardCallSetup setup;
  setup.Side = CallSide::Opener;
  setup.Call = key.Call;
  setup.Deadline = core::BootClock::now() + head.DeadlineRemaining;
  setup.Head = std::move(head);
  setup.PeerAddress = address;
  setup.Send = Send;
  auto call = ForwardCall::create(std::move(setup));
  if (!Calls->add(key, call)) {
    ++QueueFull;
    call->fail(core::ErrorKind::QueueFull);
    return core::fail(core::ErrorKind::QueueFull, "too many calls under way");
  }
  call->setOnClosed([calls = Calls, key] { calls->remove(key); });
  if (core::Result<void> sent = call->open(body, complete); !sent)
    return tl::unexpected(sent.error());
  ++Opened;
  return call;
}

void ForwardClient::receive(const PeerMessageView &message,
                            ForwardFrame frame) {
  const auto call = Calls->find(ownKey(frame.Call));
  if (!call || !call->receive(message.From, std::move(frame), message.Payload))
    ++LateOrCrossed;
}

void ForwardClient::undelivered(const ForwardFrame &frame) {
  const auto call = Calls->find(ownKey(frame.Call));
  if (!call)
    return;
  call->fail(std::holds_alternative<OpenFrame>(frame.Kind)
                 ? core::ErrorKind::PeerUnreachable
                 : core::ErrorKind::OutcomeUnknown);
}

void ForwardClient::peerLost(std::string_view address) {
  for (const auto &it : Calls->withPeer(address))
    it->fail(core::ErrorKind::OutcomeUnknown);
}

ForwardCounters ForwardClient::counters() const {
  ForwardCounters out;
  out.Opened = Opened;
  out.LateOrCrossed = LateOrCrossed;
  out.QueueFull = QueueFull;
  out.Running = Calls->size();
  return out;
}

} // namespace acaciaroad::wire
