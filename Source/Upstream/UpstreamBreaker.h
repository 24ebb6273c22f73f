/// \file
/// Circuit breaker for the upstream beside a node.

#ifndef ACACIAROAD_UPSTREAM_UPSTREAMBREAKER_H
#define ACACIAROAD_UPSTREAM_UPSTREAMBREAKER_H

#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// Pauses the orders to an upstream that answers none of them. Answers the load
/// of an upstream that resets or ignores each connection for a second or two
/// while orders for it keep arriving: each one sent would be lost, and most may
/// not be repeated, as it isn't known whether they ran. After a pause, one
/// order at a time is sent until one is answered. Each pause is twice as long
/// as the one before, up to a limit. Does no I/O and reads no clock.
class UpstreamBreaker {
public:
  /// Records that the upstream answered an order, by whatever status. Returns
  /// whether that ends the breaker's intervention.
  bool answered();

  /// Records that an order ended without an answer. Returns whether that begins
  /// a pause.
  bool failed(core::TimePoint now);

  /// Returns the time from which on orders may be sent.
  core::TimePoint pausedUntil() const { return PausedUntil; }

  /// Returns whether no order has been answered since a pause began; at most
  /// one order may run then.
  bool isOpen() const { return Pauses > 0; }

private:
  std::uint32_t FailuresInRow = 0;
  /// Pauses since the last answer.
  std::uint32_t Pauses = 0;
  core::TimePoint PausedUntil{};
};

} // namespace acaciaroad::upstream

#endif
