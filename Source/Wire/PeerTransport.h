/// \file
/// Messages between the nodes of a fleet over ZeroMQ.

#ifndef ACACIAROAD_WIRE_PEERTRANSPORT_H
#define ACACIAROAD_WIRE_PEERTRANSPORT_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "Core/Error.h"
#include "Wire/PeerMessage.h"
#include "Wire/PeerTransportOptions.h"
#include "Wire/SendQueue.h"
#include "Wire/TransportLoop.h"

namespace acaciaroad::wire {

/// Sends messages to peers and receives theirs. A ROUTER takes what peers
/// send; a DEALER a peer and channel, connected on demand, sends. One thread
/// owns all sockets; send() hands it messages and never blocks.
class PeerTransport : public std::enable_shared_from_this<PeerTransport> {
public:
  /// Binds and starts the thread. Fails with InvalidSettings for an address
  /// that cannot be bound or keys that are none.
  static core::Result<std::shared_ptr<PeerTransport>>
  create(PeerTransportOptions options, PeerTransportHooks hooks);

  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;
  ~PeerTransport();

  /// "ip:port" with the port that was bound.
  const std::string &boundAddress() const { return BoundAddress; }

  /// "ip:port" that peers answer to.
  const std::string &replyAddress() const { return ReplyAddress; }

  /// Hands \p message over for "ip:port" \p address. Fails with
  /// PeerUnreachable if the queue of its channel is full or the transport
  /// stops. Success says nothing about arrival.
  core::Result<void> send(std::string_view address, PeerMessage message);

  PeerTransportCounters counters() const;

  /// Sends what was queued as far as peers take it, closes all connections and
  /// joins the thread. Not callable from a hook.
  void stop();

private:
  PeerTransport(PeerTransportOptions options, PeerTransportHooks hooks);

  const PeerTransportOptions Options;
  const PeerTransportHooks Hooks;
  SendQueue Queue;
  std::string BoundAddress;
  std::string ReplyAddress;
  std::unique_ptr<TransportLoop> Loop;
  std::thread Thread;
  std::atomic<std::uint64_t> QueueFull{0};
};

} // namespace acaciaroad::wire

#endif
