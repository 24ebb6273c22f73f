/// \file
/// One outgoing connection of the transport.

#ifndef ACACIAROAD_WIRE_PEERCONNECTION_H
#define ACACIAROAD_WIRE_PEERCONNECTION_H

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <zmq.hpp>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Wire/CurveKeys.h"
#include "Wire/PeerMessage.h"

namespace acaciaroad::wire {

/// How connections to peers behave.
struct PeerConnectionOptions {
  std::optional<CurveKeys> Curve;
  /// Messages that libzmq holds for one connection.
  int HighWaterMark = 1024;
  /// Messages that wait for one connection to come up.
  std::size_t PendingLimit = 1024;
  /// Interval of ZeroMQ's heartbeats, and the wait for an answer to one. They
  /// find peers that vanished without closing; requests have deadlines, so a
  /// short interval would only cost wake-ups.
  std::chrono::milliseconds HeartbeatInterval{10'000};
  std::chrono::milliseconds HeartbeatTimeout{10'000};
  /// A peer drops our connection when it hears nothing for this time.
  std::chrono::milliseconds SilenceLimit{30'000};
  /// Wait for the first handshake.
  std::chrono::milliseconds ConnectTimeout{1000};
};

/// A DEALER to one peer and one channel, with the messages that wait until it
/// is connected. A message given to libzmq may have reached the peer; one that
/// still waits here has not left the node. Belongs to the transport thread.
class PeerConnection {
public:
  /// What check() found.
  enum class State : std::uint8_t { Connecting, Connected, Lost };

  /// Starts to connect to "ip:port"; throws zmq::error_t for an address that
  /// is none.
  PeerConnection(zmq::context_t &context, std::string address, Channel channel,
                 const PeerConnectionOptions &options, core::TimePoint now);
  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;

  const std::string &address() const { return Address; }
  Channel channel() const { return On; }

  /// Descriptors to wait on: sending became possible; the state changed.
  int sendDescriptor() const;
  int monitorDescriptor() const;

  /// Sends \p message, or keeps it until that is possible. Returns false, and
  /// leaves \p message as it is, if too many wait already.
  [[nodiscard]] bool send(const std::string &envelope, PeerMessage &message,
                          core::TimePoint now);

  /// Sends what waits, as far as possible.
  void flush();

  /// Reads the monitor and compares \p now with the connect deadline, which is
  /// moved once: after a pause of the process, the handshake is due with it.
  State check(core::TimePoint now);

  /// Lets messages given to libzmq leave for this time after the end.
  void lingerFor(int milliseconds);

  /// The messages that did not leave the node.
  std::deque<PeerMessage> takeUnsent();

  bool hasPending() const { return !Pending.empty(); }
  core::TimePoint lastUsed() const { return LastUsed; }
  core::TimePoint connectDeadline() const { return ConnectDeadline; }
  bool isConnected() const { return Now == State::Connected; }

  /// Bytes and messages given to libzmq.
  std::uint64_t sentMessages() const { return Sent; }

private:
  struct Waiting {
    std::string Envelope;
    PeerMessage Message;
  };

  bool trySend(const std::string &envelope, PeerMessage &message);
  void readMonitor();

  const std::string Address;
  const Channel On;
  const std::size_t PendingLimit;
  zmq::socket_t Dealer;
  zmq::socket_t Monitor;
  std::deque<Waiting> Pending;
  State Now = State::Connecting;
  core::TimePoint LastUsed;
  core::TimePoint ConnectDeadline;
  /// The deadline has been moved.
  bool IsOverdue = false;
  std::uint64_t Sent = 0;
};

} // namespace acaciaroad::wire

#endif
