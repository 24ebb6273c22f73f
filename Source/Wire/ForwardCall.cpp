#include "Wire/ForwardCall.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "Core/Identifiers.h"

namespace acaciaroad::wire {

namespace {

/// Bytes read before the other end is granted as many again.
constexpr std::size_t CreditStepBytes = WindowBytes / 4;

std::string toString(std::span<const std::byte> bytes) {
  std::string out(bytes.size(), '\0');
  if (!bytes.empty())
    std::memcpy(out.data(), bytes.data(), bytes.size());
  return out;
}

/// Wakes a thread that waits for any of several calls.
struct Latch {
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Set = false;

  void set() {
    {
      const std::lock_guard lock(Mutex);
      Set = true;
    }
    Changed.notify_all();
  }

  bool waitUntil(core::TimePoint deadline) {
    std::unique_lock lock(Mutex);
    const bool set = Changed.wait_until(lock, deadline, [&] { return Set; });
    Set = false;
    return set;
  }
};

} // namespace

std::shared_ptr<ForwardCall> ForwardCall::create(ForwardCallSetup setup) {
  return std::shared_ptr<ForwardCall>(new ForwardCall(std::move(setup)));
}

ForwardCall::ForwardCall(ForwardCallSetup setup)
    : Setup(std::move(setup)),
      RequestCheck(core::hashOf(Setup.Head.RequestId)) {}

ForwardCall::~ForwardCall() {
  if (Closed)
    return;
  ForwardFrame out = frame();
  out.Kind = CancelFrame{};
  if (Setup.Side == CallSide::Owner && !OutStarted)
    out.Kind = RefusalFrame{
        Setup.Head.RequestId,
        {core::ErrorKind::Internal, "the call was dropped unanswered"}};
  (void)sendFrame(out, {});
  if (OnClosed)
    OnClosed();
}

ForwardFrame ForwardCall::frame() const {
  ForwardFrame out;
  out.Call = Setup.Call;
  out.RequestCheck = RequestCheck;
  out.ToOwner = Setup.Side == CallSide::Opener;
  return out;
}

core::Result<void> ForwardCall::sendFrame(const ForwardFrame &frame,
                                          Bytes payload) {
  return Setup.Send(
      Setup.PeerAddress,
      PeerMessage{Channel::Forward, encodeFrame(frame), toString(payload)});
}

core::Error ForwardCall::lostErrorLocked() const {
  if (Setup.Side == CallSide::Owner)
    return {OutStarted ? core::ErrorKind::AnswerIncomplete
                       : core::ErrorKind::BodyIncomplete,
            "the entry node gave the request up"};
  if (Answer)
    return {core::ErrorKind::AnswerIncomplete,
            "the owning node stopped within the answer"};
  return {core::ErrorKind::OutcomeUnknown, "the owning node gave no answer"};
}

core::Error ForwardCall::errorLocked() const {
  if (Answer && std::holds_alternative<core::Error>(*Answer))
    return std::get<core::Error>(*Answer);
  if (Setup.Side == CallSide::Opener && !Answer && Failure)
    return {*Failure, "no answer from " + Setup.PeerAddress};
  return lostErrorLocked();
}

bool ForwardCall::isOutgoingOverLocked() const {
  return Closed || OutDone ||
         (Setup.Side == CallSide::Opener && Answer.has_value());
}

core::Result<void> ForwardCall::open(Bytes body, bool complete) {
  if (body.size() > ChunkLimitBytes)
    return core::fail(core::ErrorKind::InvalidArgument, "first part too long");
  ForwardFrame out = frame();
  out.Kind = OpenFrame{Setup.Head, complete};
  {
    const std::lock_guard lock(Mutex);
    SendCredit -= body.size();
    OutStarted = true;
    OutDone = complete;
  }
  core::Result<void> sent = sendFrame(out, body);
  if (!sent)
    fail(core::ErrorKind::PeerUnreachable);
  return sent;
}

core::Result<void> ForwardCall::write(Bytes bytes, core::TimePoint deadline) {
  while (!bytes.empty()) {
    Lock lock(Mutex);
    const bool ready = Changed.wait_until(lock, deadline, [this] {
      return SendCredit > 0 || isOutgoingOverLocked();
    });
    if (Failure || Cancelled)
      return tl::unexpected(errorLocked());
    if (isOutgoingOverLocked())
      return {};
    if (!ready)
      return tl::unexpected(lostErrorLocked());
    const std::size_t n = std::min({bytes.size(), SendCredit, ChunkLimitBytes});
    SendCredit -= n;
    lock.unlock();
    ForwardFrame out = frame();
    out.Kind = DataFrame{};
    if (core::Result<void> sent = sendFrame(out, bytes.first(n)); !sent) {
      fail(core::ErrorKind::OutcomeUnknown);
      return sent;
    }
    bytes = bytes.subspan(n);
  }
  return {};
}

core::Result<void> ForwardCall::finishBody() {
  Lock lock(Mutex);
  if (Failure || Cancelled)
    return tl::unexpected(errorLocked());
  if (isOutgoingOverLocked())
    return {};
  OutDone = true;
  if (Setup.Side == CallSide::Owner)
    Closed = true;
  settle(lock);
  ForwardFrame out = frame();
  out.Kind = DataFrame{true};
  core::Result<void> sent = sendFrame(out, {});
  if (!sent)
    fail(core::ErrorKind::OutcomeUnknown);
  return sent;
}

core::Result<std::size_t> ForwardCall::read(std::span<std::byte> out,
                                            core::TimePoint deadline) {
  Lock lock(Mutex);
  const bool ready = Changed.wait_until(
      lock, deadline, [this] { return Unread > 0 || InDone || Closed; });
  if (Unread > 0) {
    const std::size_t n = copyOut(out);
    grantCredit(lock);
    return n;
  }
  if (InDone)
    return 0;
  if (!ready)
    return tl::unexpected(lostErrorLocked());
  return tl::unexpected(errorLocked());
}

std::size_t ForwardCall::copyOut(std::span<std::byte> out) {
  std::size_t copied = 0;
  while (copied < out.size() && !Chunks.empty()) {
    const std::string &chunk = Chunks.front();
    const std::size_t n =
        std::min(out.size() - copied, chunk.size() - ChunkOffset);
    std::memcpy(out.data() + copied, chunk.data() + ChunkOffset, n);
    copied += n;
    ChunkOffset += n;
    if (ChunkOffset == chunk.size()) {
      Chunks.pop_front();
      ChunkOffset = 0;
    }
  }
  Unread -= copied;
  ToGrant += copied;
  return copied;
}

void ForwardCall::grantCredit(Lock &lock) {
  if (InDone || Closed || ToGrant < CreditStepBytes)
    return;
  const std::size_t granted = std::exchange(ToGrant, 0);
  lock.unlock();
  ForwardFrame out = frame();
  out.Kind = CreditFrame{static_cast<std::uint32_t>(granted)};
  if (!sendFrame(out, {}))
    fail(core::ErrorKind::OutcomeUnknown);
}

core::Result<ForwardAnswer> ForwardCall::awaitHead(core::TimePoint deadline) {
  Lock lock(Mutex);
  Changed.wait_until(lock, deadline, [this] { return Answer || Closed; });
  if (Answer)
    return *Answer;
  return tl::unexpected(errorLocked());
}

std::optional<std::size_t>
ForwardCall::waitAny(std::span<const std::shared_ptr<ForwardCall>> calls,
                     core::TimePoint deadline) {
  const auto latch = std::make_shared<Latch>();
  for (const auto &it : calls)
    it->setOnEvent([latch] { latch->set(); });
  const auto find = [&] {
    return std::find_if(calls.begin(), calls.end(),
                        [](const auto &it) { return it->hasAnswer(); });
  };
  auto found = find();
  while (found == calls.end() && latch->waitUntil(deadline))
    found = find();
  for (const auto &it : calls)
    it->setOnEvent(nullptr);
  found = find();
  if (found == calls.end())
    return std::nullopt;
  return static_cast<std::size_t>(found - calls.begin());
}

bool ForwardCall::hasAnswer() const {
  const std::lock_guard lock(Mutex);
  return Answer.has_value() || Closed;
}

bool ForwardCall::hasEnded() const {
  const std::lock_guard lock(Mutex);
  return Closed;
}

core::Result<void> ForwardCall::answerHead(const AnswerHead &head, Bytes body,
                                           bool complete) {
  if (Setup.Side != CallSide::Owner || body.size() > ChunkLimitBytes)
    return core::fail(core::ErrorKind::InvalidArgument, "not an answer");
  Lock lock(Mutex);
  if (Closed || OutStarted)
    return tl::unexpected(lostErrorLocked());
  OutStarted = true;
  OutDone = complete;
  Closed = complete;
  SendCredit -= body.size();
  settle(lock);
  ForwardFrame out = frame();
  out.Kind = AnswerFrame{Setup.Head.RequestId, head, complete};
  core::Result<void> sent = sendFrame(out, body);
  if (!sent)
    fail(core::ErrorKind::OutcomeUnknown);
  return sent;
}

void ForwardCall::refuse(core::Error error) {
  Lock lock(Mutex);
  if (Closed)
    return;
  Closed = true;
  settle(lock);
  ForwardFrame out = frame();
  out.Kind = RefusalFrame{Setup.Head.RequestId, std::move(error)};
  (void)sendFrame(out, {});
}

void ForwardCall::cancel() {
  Lock lock(Mutex);
  if (Closed)
    return;
  Closed = true;
  Failure = core::ErrorKind::OutcomeUnknown;
  settle(lock);
  ForwardFrame out = frame();
  out.Kind = CancelFrame{};
  (void)sendFrame(out, {});
}

void ForwardCall::setOnCancelled(std::function<void()> hook) {
  {
    const std::lock_guard hooks(HookMutex);
    const std::lock_guard lock(Mutex);
    OnCancelled = std::move(hook);
  }
  runCancelled();
}

void ForwardCall::runCancelled() {
  // Held while the hook runs, so that who replaces it knows it is over.
  const std::lock_guard hooks(HookMutex);
  std::function<void()> hook;
  {
    const std::lock_guard lock(Mutex);
    if (Cancelled)
      hook = std::exchange(OnCancelled, nullptr);
  }
  if (hook)
    hook();
}

void ForwardCall::setOnClosed(std::function<void()> hook) {
  Lock lock(Mutex);
  OnClosed = std::move(hook);
  CloseReported = false;
  if (Closed)
    settle(lock);
}

void ForwardCall::setOnEvent(std::function<void()> hook) {
  const std::lock_guard lock(Mutex);
  OnEvent = std::move(hook);
}

bool ForwardCall::receive(core::InstanceId from, ForwardFrame frame,
                          std::string_view payload) {
  Lock lock(Mutex);
  if (Closed || !acceptPeer(from, frame))
    return false;
  const bool taken =
      std::visit([&](auto &kind) { return take(kind, payload); }, frame.Kind);
  if (taken)
    settle(lock);
  return taken;
}

bool ForwardCall::acceptPeer(core::InstanceId from, const ForwardFrame &frame) {
  const bool fromOpener = Setup.Side == CallSide::Owner;
  if (frame.RequestCheck != RequestCheck || frame.ToOwner != fromOpener)
    return false;
  if (!Setup.Peer)
    Setup.Peer = from;
  return Setup.Peer == from;
}

bool ForwardCall::takePayload(std::string_view payload, bool last) {
  if (InDone || payload.size() > ChunkLimitBytes ||
      Unread + ToGrant + payload.size() > WindowBytes)
    return false;
  if (!payload.empty())
    Chunks.emplace_back(payload);
  Unread += payload.size();
  InDone = last;
  return true;
}

bool ForwardCall::take(OpenFrame &frame, std::string_view payload) {
  return Setup.Side == CallSide::Owner &&
         takePayload(payload, frame.BodyComplete);
}

bool ForwardCall::take(DataFrame &frame, std::string_view payload) {
  if (Setup.Side == CallSide::Opener && !Answer)
    return false;
  if (!takePayload(payload, frame.Last))
    return false;
  if (Setup.Side == CallSide::Opener)
    Closed = InDone;
  return true;
}

bool ForwardCall::take(CreditFrame &frame, std::string_view /*payload*/) {
  if (frame.Bytes > WindowBytes - SendCredit)
    return false;
  SendCredit += frame.Bytes;
  return true;
}

bool ForwardCall::take(AnswerFrame &frame, std::string_view payload) {
  if (Setup.Side != CallSide::Opener || Answer ||
      frame.RequestId != Setup.Head.RequestId ||
      !takePayload(payload, frame.BodyComplete))
    return false;
  Answer = std::move(frame.Head);
  Closed = InDone;
  return true;
}

bool ForwardCall::take(RefusalFrame &frame, std::string_view /*payload*/) {
  if (Setup.Side != CallSide::Opener || frame.RequestId != Setup.Head.RequestId)
    return false;
  Closed = true;
  if (Answer)
    Failure = core::ErrorKind::AnswerIncomplete;
  else
    Answer = std::move(frame.Why);
  return true;
}

bool ForwardCall::take(CancelFrame & /*frame*/, std::string_view /*payload*/) {
  Closed = true;
  Failure = core::ErrorKind::OutcomeUnknown;
  Cancelled = Setup.Side == CallSide::Owner;
  return true;
}

void ForwardCall::fail(core::ErrorKind kind) {
  Lock lock(Mutex);
  if (Closed)
    return;
  Closed = true;
  Failure = kind;
  Cancelled = Setup.Side == CallSide::Owner;
  settle(lock);
}

void ForwardCall::settle(Lock &lock) {
  const std::function<void()> event = OnEvent;
  const bool cancelled = Cancelled;
  // Under the lock, so that whoever sees the end of the call finds it removed.
  if (Closed && !std::exchange(CloseReported, true) && OnClosed)
    std::exchange(OnClosed, nullptr)();
  // Woken under the lock, a reader would wait again for the lock.
  lock.unlock();
  Changed.notify_all();
  if (cancelled)
    runCancelled();
  if (event)
    event();
}

} // namespace acaciaroad::wire
