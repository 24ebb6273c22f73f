/// \file
/// The entry node's side of forwarding.

#ifndef ACACIAROAD_WIRE_FORWARDCLIENT_H
#define ACACIAROAD_WIRE_FORWARDCLIENT_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "Core/Error.h"
#include "Wire/CallTable.h"
#include "Wire/ForwardCall.h"
#include "Wire/ForwardFrame.h"
#include "Wire/PeerMessage.h"

namespace acaciaroad::wire {

/// Numbers since the start.
struct ForwardCounters {
  std::uint64_t Opened = 0;
  /// Frames for a call that has ended or that they do not match.
  std::uint64_t LateOrCrossed = 0;
  /// Frames that could not be decoded.
  std::uint64_t Corrupt = 0;
  /// Calls refused because the queue or the table was full.
  std::uint64_t QueueFull = 0;
  std::uint64_t Running = 0;
};

/// Opens calls to owning nodes and hands their frames on.
class ForwardClient {
public:
  /// \p callLimit bounds the calls under way.
  ForwardClient(SendFunction send, std::size_t callLimit);

  /// Sends a request to the node at "ip:port" \p address. \p body is the start
  /// of the body, at most ChunkLimitBytes; \p complete says that it is the
  /// whole. Fails with QueueFull or PeerUnreachable; nothing was sent then.
  core::Result<std::shared_ptr<ForwardCall>>
  open(std::string_view address, ForwardHead head,
       std::span<const std::byte> body = {}, bool complete = true);

  /// Takes a frame from an owner.
  void receive(const PeerMessageView &message, ForwardFrame frame);

  /// A frame of one of our calls did not leave this node.
  void undelivered(const ForwardFrame &frame);

  /// The node at \p address was lost.
  void peerLost(std::string_view address);

  ForwardCounters counters() const;

private:
  const SendFunction Send;
  /// Shared with the calls, which remove themselves.
  const std::shared_ptr<CallTable> Calls;
  std::atomic<std::uint64_t> NextCall;
  std::atomic<std::uint64_t> Opened{0};
  std::atomic<std::uint64_t> LateOrCrossed{0};
  std::atomic<std::uint64_t> QueueFull{0};
};

} // namespace acaciaroad::wire

#endif
