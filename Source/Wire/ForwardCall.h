/// \file
/// One request on its way between two nodes.

#ifndef ACACIAROAD_WIRE_FORWARDCALL_H
#define ACACIAROAD_WIRE_FORWARDCALL_H

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Wire/ForwardFrame.h"
#include "Wire/ForwardHead.h"
#include "Wire/PeerMessage.h"

namespace acaciaroad::wire {

/// Hands a message for "ip:port" to the transport; never blocks.
using SendFunction = std::function<core::Result<void>(std::string_view address,
                                                      PeerMessage message)>;

/// Which end of a call this is.
enum class CallSide : std::uint8_t { Opener, Owner };

/// What a call is made of.
struct ForwardCallSetup {
  CallSide Side = CallSide::Opener;
  std::uint64_t Call = 0;
  ForwardHead Head;
  /// "ip:port" of the other end.
  std::string PeerAddress;
  /// Incarnation of the other end; the opener learns it from the first frame.
  core::InstanceId Peer;
  core::TimePoint Deadline;
  SendFunction Send;
};

/// One end of a forwarded request. The opener writes the request's body and
/// reads the answer, the owner does the reverse. Each direction has a window
/// of WindowBytes, so a large body is never held whole. At most one thread
/// writes and one reads at a time; cancel() may come from any thread.
class ForwardCall : public std::enable_shared_from_this<ForwardCall> {
public:
  using Bytes = std::span<const std::byte>;

  static std::shared_ptr<ForwardCall> create(ForwardCallSetup setup);

  ForwardCall(const ForwardCall &) = delete;
  ForwardCall &operator=(const ForwardCall &) = delete;
  /// Cancels, or refuses with Internal, what was left unfinished.
  ~ForwardCall();

  const ForwardHead &head() const { return Setup.Head; }
  /// The number that the opener chose.
  std::uint64_t number() const { return Setup.Call; }
  std::string_view peerAddress() const { return Setup.PeerAddress; }
  core::TimePoint deadline() const { return Setup.Deadline; }

  /// Opener: sends the head and \p body, at most ChunkLimitBytes, in one
  /// message. \p complete says that no more follows.
  core::Result<void> open(Bytes body, bool complete);

  /// Sends a part of the body, in chunks as the window allows. Fails with
  /// OutcomeUnknown at the opener and AnswerIncomplete at the owner when the
  /// other end is gone or \p deadline passes. An answer that comes before the
  /// request's body was sent ends the body: the rest is dropped.
  core::Result<void> write(Bytes bytes, core::TimePoint deadline);

  /// Ends the body.
  core::Result<void> finishBody();

  /// Reads from the body into \p out and returns the number of bytes, 0 at
  /// its end. Fails with BodyIncomplete at the owner, and with OutcomeUnknown
  /// or AnswerIncomplete at the opener, when the other end is gone or
  /// \p deadline passes.
  core::Result<std::size_t> read(std::span<std::byte> out,
                                 core::TimePoint deadline);

  /// Opener: waits for the answer. Fails with PeerUnreachable if the request
  /// never left this node, else with OutcomeUnknown.
  core::Result<ForwardAnswer> awaitHead(core::TimePoint deadline);

  /// Opener: waits until one of \p calls has an answer or has failed and
  /// returns its place, or nothing at \p deadline. Takes the event hook.
  static std::optional<std::size_t>
  waitAny(std::span<const std::shared_ptr<ForwardCall>> calls,
          core::TimePoint deadline);

  /// Opener: whether awaitHead() would return at once.
  bool hasAnswer() const;

  /// Whether no more frames are expected.
  bool hasEnded() const;

  /// Owner: sends the head of the answer and \p body, at most
  /// ChunkLimitBytes, in one message. \p complete says that no more follows.
  core::Result<void> answerHead(const AnswerHead &head, Bytes body,
                                bool complete);

  /// Owner: ends the call without an upstream's answer; after answerHead() it
  /// cuts the answer short.
  void refuse(core::Error error);

  /// Gives the call up and tells the other end.
  void cancel();

  /// Owner: \p hook runs once, on the transport thread, when the opener gives
  /// up or is lost; at once if that has happened. The hook that it replaces is
  /// not running any more when it returns. Not callable from the hook.
  void setOnCancelled(std::function<void()> hook);

  /// \p hook runs on the transport thread after each change.
  void setOnEvent(std::function<void()> hook);

  // What follows is for ForwardClient and ForwardServer, on the transport
  // thread.

  /// \p hook runs once, when no more frames are expected; it must not use the
  /// call.
  void setOnClosed(std::function<void()> hook);

  /// Takes a frame; returns false if it does not belong to this call.
  [[nodiscard]] bool receive(core::InstanceId from, ForwardFrame frame,
                             std::string_view payload);

  /// Ends the call because the other end cannot be reached.
  void fail(core::ErrorKind kind);

private:
  explicit ForwardCall(ForwardCallSetup setup);

  using Lock = std::unique_lock<std::mutex>;

  ForwardFrame frame() const;
  core::Result<void> sendFrame(const ForwardFrame &frame, Bytes payload);
  core::Error errorLocked() const;
  core::Error lostErrorLocked() const;
  bool isOutgoingOverLocked() const;
  bool acceptPeer(core::InstanceId from, const ForwardFrame &frame);
  bool takePayload(std::string_view payload, bool last);
  bool take(OpenFrame &frame, std::string_view payload);
  bool take(DataFrame &frame, std::string_view payload);
  bool take(CreditFrame &frame, std::string_view payload);
  bool take(AnswerFrame &frame, std::string_view payload);
  bool take(RefusalFrame &frame, std::string_view payload);
  bool take(CancelFrame &frame, std::string_view payload);
  std::size_t copyOut(std::span<std::byte> out);
  void grantCredit(Lock &lock);
  void settle(Lock &lock);
  void runCancelled();

  ForwardCallSetup Setup;
  const std::uint64_t RequestCheck;

  /// Held while OnCancelled runs; taken before Mutex.
  std::mutex HookMutex;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  // Outgoing body.
  std::size_t SendCredit = WindowBytes;
  bool OutStarted = false;
  bool OutDone = false;
  // Incoming body.
  std::deque<std::string> Chunks;
  std::size_t ChunkOffset = 0;
  std::size_t Unread = 0;
  std::size_t ToGrant = 0;
  bool InDone = false;
  // Outcome.
  std::optional<ForwardAnswer> Answer;
  std::optional<core::ErrorKind> Failure;
  bool Cancelled = false;
  bool Closed = false;
  bool CloseReported = false;
  std::function<void()> OnClosed;
  std::function<void()> OnCancelled;
  std::function<void()> OnEvent;
};

} // namespace acaciaroad::wire

#endif
