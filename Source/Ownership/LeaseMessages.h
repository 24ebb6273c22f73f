/// \file
/// The messages by which instances renew leases, confirm their expiry and hand
/// slices over. A message names the incarnation it is addressed to where
/// delivery to another process at the same address could do harm.

#ifndef ACACIAROAD_OWNERSHIP_LEASEMESSAGES_H
#define ACACIAROAD_OWNERSHIP_LEASEMESSAGES_H

#include <cstdint>
#include <variant>
#include <vector>

#include "Core/Identifiers.h"
#include "Ownership/OwnershipRecord.h"

namespace acaciaroad::ownership {

/// A lease renewal request from a holder to a witness; also the heartbeat.
struct LeaseAsk {
  core::InstanceId Witness;
  /// Send time in nanoseconds on the holder's boot clock; the witness echoes it
  /// unchanged.
  std::int64_t AskedAt = 0;
  /// Offset of the holder's InstanceJoined record. A witness that has read past
  /// it and does not know the holder can conclude that the holder is retired.
  core::Offset JoinedAt = 0;
  /// Milliseconds since the last request that a majority answered. A holder
  /// that receives no answers cannot serve and is treated like a lost one.
  std::uint32_t SinceMajority = 0;
  bool operator==(const LeaseAsk &) const = default;
};

/// The witness will not confirm a takeover from the holder before the lease
/// length has passed since it received the request.
struct LeasePromise {
  core::InstanceId Holder;
  std::int64_t AskedAt = 0;
  /// Last log offset read by the witness. Lets a holder detect that it is cut
  /// off from a log that others can reach.
  core::Offset ReadTo = 0;
  bool operator==(const LeasePromise &) const = default;
};

/// The witness has read in the log that the holder is retired, or was told so
/// by a successor.
struct LeaseRefusal {
  core::InstanceId Holder;
  bool operator==(const LeaseRefusal &) const = default;
};

/// A successor asks a witness of a lost holder whether its promise has expired.
struct ConfirmQuery {
  core::InstanceId Witness;
  core::InstanceId Holder;
  bool operator==(const ConfirmQuery &) const = default;
};

/// The witness gives the holder no more promises, and its last promise has
/// expired by its own clock.
struct LapseConfirmed {
  core::InstanceId Holder;
  bool operator==(const LapseConfirmed &) const = default;
};

/// The sender has stopped serving these slices at the epochs given.
struct Released {
  std::vector<SliceEpoch> Slices;
  bool operator==(const Released &) const = default;
};

/// A liveness probe from a witness to a silent holder.
struct Probe {
  core::InstanceId Holder;
  bool operator==(const Probe &) const = default;
};

struct ProbeReply {
  /// As in LeaseAsk.
  std::uint32_t SinceMajority = 0;
  bool operator==(const ProbeReply &) const = default;
};

/// A witness asks another witness how long a holder has been silent.
struct SilenceQuery {
  core::InstanceId Holder;
  bool operator==(const SilenceQuery &) const = default;
};

struct SilenceReport {
  core::InstanceId Holder;
  /// Milliseconds since the last sign of life.
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
