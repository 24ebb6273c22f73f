/// \file
/// Settings, hooks and counters of the peer transport.

#ifndef ACACIAROAD_WIRE_PEERTRANSPORTOPTIONS_H
#define ACACIAROAD_WIRE_PEERTRANSPORTOPTIONS_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "Core/Identifiers.h"
#include "Wire/PeerConnection.h"
#include "Wire/PeerMessage.h"

namespace acaciaroad::wire {

/// Settings of a PeerTransport.
struct PeerTransportOptions {
  /// Incarnation of this node; every message carries it.
  core::InstanceId Self;
  /// "ip:port" to bind; port 0 takes any.
  std::string ListenAddress = "127.0.0.1:0";
  /// "ip:port" that peers answer to; empty takes the bound address.
  std::string AdvertisedAddress;
  /// Messages that may wait for the transport thread on one channel.
  std::size_t QueueLimit = 8192;
  /// A connection is closed after this time without a message to its peer.
  std::chrono::milliseconds IdleTimeout{60'000};
  /// After a failed connection a peer counts as unreachable for this time.
  std::chrono::milliseconds RetryDelay{100};
  /// Bytes of the longest part of a message that is taken.
  std::int64_t MessageLimitBytes = 1 << 20;
  PeerConnectionOptions Connection;
};

/// What a PeerTransport calls, always on its own thread; hooks must be quick.
struct PeerTransportHooks {
  std::function<void(const PeerMessageView &message)> OnMessage;
  /// The message did not leave this node.
  std::function<void(std::string_view address, const PeerMessage &message)>
      OnUndelivered;
  /// A connection broke; what was sent over it may or may not have arrived.
  std::function<void(std::string_view address, Channel channel)> OnPeerLost;
};

/// Numbers since the start.
struct PeerTransportCounters {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  /// Messages that could not be decoded.
  std::uint64_t Corrupt = 0;
  /// Messages refused because a queue was full.
  std::uint64_t QueueFull = 0;
  /// Messages that never left because their peer was not reached.
  std::uint64_t Undelivered = 0;
  std::uint64_t PeersLost = 0;
  /// Peers without the fleet's key.
  std::uint64_t PeersRefused = 0;
  std::uint64_t OpenConnections = 0;
  /// Returns from the wait of the transport thread.
  std::uint64_t WakeUps = 0;
};

} // namespace acaciaroad::wire

#endif
