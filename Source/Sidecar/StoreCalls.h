/// \file
/// Counts of the calls to the platform's logs.

#ifndef ACACIAROAD_SIDECAR_STORECALLS_H
#define ACACIAROAD_SIDECAR_STORECALLS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace acaciaroad::sidecar {

/// Why a node calls the platform.
enum class StoreCallCause : std::uint8_t {
  /// A page of the newest records, at the start or after records were trimmed.
  Snapshot,
  /// A node that reads the logs for others polls.
  Poll,
  /// A change of holdings needs the actual end of the log.
  ProposalRead,
  /// No answer came from the relay in time.
  RelaySilent,
  /// The relay has no such records, or too many.
  RelayRefused,
  /// The relay has lost its own way to the log.
  RelayOutdated,
  /// All relays have failed lately.
  NoRelay,
  /// Renews the leases of one or more nodes.
  Renewal,
  /// A node's record with a new state.
  StateChange,
  /// A change of holdings that was appended.
  ChangeAccepted,
  /// A change of holdings that was not appended, or may not have been.
  ChangeRefused,
  /// Reads or writes the state of a roll-out for operators.
  RolloutStatus,
};

inline constexpr std::size_t StoreCallCauseCount =
    static_cast<std::size_t>(StoreCallCause::RolloutStatus) + 1;

/// Returns the name of \p cause for logs and metrics.
std::string_view toString(StoreCallCause cause);

/// Calls by StoreCallCause.
using StoreCallCounts = std::array<std::uint64_t, StoreCallCauseCount>;

/// Returns \p counts in the Prometheus text format.
std::string render(const StoreCallCounts &counts);

} // namespace acaciaroad::sidecar

#endif
