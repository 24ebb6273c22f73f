/// \file
/// Lengths of time and counts that all instances of a fleet must agree on.

#ifndef ACACIAROAD_OWNERSHIP_LEASERULES_H
#define ACACIAROAD_OWNERSHIP_LEASERULES_H

#include <chrono>
#include <cstddef>

#include "Core/Clock.h"

namespace acaciaroad::ownership {

/// Rules that a test may break, to show that its checks notice.
struct ProtocolFaults {
  /// A promise counts from the arrival of the answer.
  bool Ask = false;
  /// A witness confirms before its promise has lapsed.
  bool Lapse = false;
  /// A takeover forgets earlier predecessors.
  bool Chain = false;
  /// A holder needs no majority of the witnesses that it has proposed.
  bool Joint = false;
  /// A grant is given without a look at the lease's expiry.
  bool Expiry = false;
  /// A slice is released while its requests still run.
  bool Drain = false;
};

struct LeaseRules {
  /// How long a promise lasts, on the holder's clock from its asking and on the
  /// witness's clock from the receipt.
  core::Duration Length = std::chrono::milliseconds(600);
  core::Duration RenewInterval = std::chrono::milliseconds(200);
  /// Most by which two boot clocks may differ over one lease length. A witness
  /// waits this much longer.
  core::Duration DriftAllowance = std::chrono::milliseconds(20);
  /// Longest time by which the deadline of an order to an upstream that does
  /// not check grants may pass the expiry of the lease. Successors wait for it.
  core::Duration OrderOverrun{0};
};

/// Returns how many of \p count witnesses make a majority.
constexpr std::size_t majorityCount(std::size_t count) {
  return count == 0 ? 0 : count / 2 + 1;
}

/// Returns how many of \p count witnesses leave no majority to the others.
constexpr std::size_t blockingCount(std::size_t count) {
  return count - count / 2;
}

} // namespace acaciaroad::ownership

#endif
