/// \file
/// Durations and quorum sizes that all instances of a fleet must agree on.

#ifndef ACACIAROAD_OWNERSHIP_LEASERULES_H
#define ACACIAROAD_OWNERSHIP_LEASERULES_H

#include <chrono>
#include <cstddef>

#include "Core/Clock.h"

namespace acaciaroad::ownership {

/// Faults that a test injects to verify that its checks detect them.
struct ProtocolFaults {
  /// A promise counts from the arrival of the answer, not from the request.
  bool Ask = false;
  /// A witness confirms before its promise has expired.
  bool Lapse = false;
  /// A takeover drops earlier predecessors.
  bool Chain = false;
  /// A holder does not require a majority of the witnesses it has proposed.
  bool Joint = false;
  /// Grants are issued without checking the expiry of the lease.
  bool Expiry = false;
  /// A slice is released while requests for it are in flight.
  bool Drain = false;
};

struct LeaseRules {
  /// Lease length: how long a promise lasts, on the holder's clock from sending
  /// the request and on the witness's clock from receiving it.
  core::Duration Length = std::chrono::milliseconds(600);
  core::Duration RenewInterval = std::chrono::milliseconds(200);
  /// Maximum drift between two boot clocks over one lease length. A witness
  /// waits this much longer.
  core::Duration DriftAllowance = std::chrono::milliseconds(20);
  /// Maximum time by which the deadline of an order may exceed the expiry of
  /// the lease if the upstream does not check grants. Successors wait this
  /// long.
  core::Duration OrderOverrun{0};
};

/// Returns the majority of \p count witnesses; 0 if there are none.
constexpr std::size_t majorityCount(std::size_t count) {
  return count == 0 ? 0 : count / 2 + 1;
}

/// Returns the least number of \p count witnesses without which the others
/// form no majority.
constexpr std::size_t blockingCount(std::size_t count) {
  return count - count / 2;
}

} // namespace acaciaroad::ownership

#endif
