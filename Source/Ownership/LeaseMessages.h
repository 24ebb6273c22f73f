/// \file
/// The messages between instances that keep leases, confirm their lapse and
/// hand slices over. Each names the incarnation it is meant for where a message
/// to an earlier process at the same address could do harm.

#ifndef ACACIAROAD_OWNERSHIP_LEASEMESSAGES_H
#define ACACIAROAD_OWNERSHIP_LEASEMESSAGES_H

#include <cstdint>
#include <variant>
#include <vector>

#include "Core/Identifiers.h"
#include "Ownership/OwnershipRecord.h"

namespace acaciaroad::ownership {

/// A holder asks a witness for a promise; also its heartbeat.
struct LeaseAsk {
  core::InstanceId Witness;
  /// Nanoseconds on the holder's boot clock; the witness only echoes it.
  std::int64_t AskedAt = 0;
  /// Offset of the holder's InstanceJoined record. A witness that has read past
  /// it and does not know the holder knows that the holder is retired.
  core::Offset JoinedAt = 0;
  /// Milliseconds since the asking that last won a majority. A holder that
  /// hears no answers is as good as lost.
  std::uint32_t SinceMajority = 0;
  bool operator==(const LeaseAsk &) const = default;
};

/// The witness will confirm no takeover from the holder before the lease length
/// has passed since it received the ask.
struct LeasePromise {
  core::InstanceId Holder;
  std::int64_t AskedAt = 0;
  /// How far the witness has read the log. Tells a holder that is cut off from
  /// a log that others reach.
  core::Offset ReadTo = 0;
  bool operator==(const LeasePromise &) const = default;
};

/// The witness has read that the holder is retired.
struct LeaseRefusal {
  core::InstanceId Holder;
  bool operator==(const LeaseRefusal &) const = default;
};

/// A successor asks a witness of a lost holder whether its promise has lapsed.
struct ConfirmQuery {
  core::InstanceId Witness;
  core::InstanceId Holder;
  bool operator==(const ConfirmQuery &) const = default;
};

/// The witness promises nothing to the holder any more, and its last promise
/// has lapsed on its own clock.
struct LapseConfirmed {
  core::InstanceId Holder;
  bool operator==(const LapseConfirmed &) const = default;
};

/// The sender has stopped serving these slices, at the epochs that it had.
struct Released {
  std::vector<SliceEpoch> Slices;
  bool operator==(const Released &) const = default;
};

/// A witness asks a silent holder for a sign of life.
struct Probe {
  core::InstanceId Holder;
  bool operator==(const Probe &) const = default;
};

struct ProbeReply {
  /// As in LeaseAsk.
  std::uint32_t SinceMajority = 0;
  bool operator==(const ProbeReply &) const = default;
};

/// A witness asks another one for how long it has not heard of a holder.
struct SilenceQuery {
  core::InstanceId Holder;
  bool operator==(const SilenceQuery &) const = default;
};

struct SilenceReport {
  core::InstanceId Holder;
  /// Milliseconds.
  std::uint32_t Silence = 0;
  bool operator==(const SilenceReport &) const = default;
};

/// Any message of this aggregate.
using ControlMessage =
    std::variant<LeaseAsk, LeasePromise, LeaseRefusal, ConfirmQuery,
                 LapseConfirmed, Released, Probe, ProbeReply, SilenceQuery,
                 SilenceReport>;

} // namespace acaciaroad::ownership

#endif
