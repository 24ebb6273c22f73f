/// \file
/// The log records that determine ownership. A reader accepts a record only if
/// the version it is based on is still current, so appending a record twice is
/// harmless.

#ifndef ACACIAROAD_OWNERSHIP_OWNERSHIPRECORD_H
#define ACACIAROAD_OWNERSHIP_OWNERSHIPRECORD_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Core/Identifiers.h"

namespace acaciaroad::ownership {

/// Description of an instance, published when it joins.
struct InstanceInfo {
  core::InstanceId Id;
  /// Name from the settings; the same for all incarnations.
  std::string Name;
  std::string DataCentre;
  /// Failure domain within the data centre; may be empty.
  std::string Rack;
  /// "ip:port" of the peer protocol.
  std::string PeerAddress;
  /// "ip:port" for callers.
  std::string HttpAddress;
  /// Service of the local upstream; empty for a node without one.
  std::string Service;
  /// Whether the upstream rejects orders with a stale or expired grant.
  bool ChecksGrants = false;

  bool operator==(const InstanceInfo &) const = default;
};

/// An instance joins the fleet and receives its share of slices. Accepted if
/// the id was never seen before.
struct InstanceJoined {
  InstanceInfo Info;
  std::vector<core::InstanceId> Witnesses;
  bool operator==(const InstanceJoined &) const = default;
};

/// The instance requests planned moves of all its slices before it stops.
struct InstanceLeaving {
  core::InstanceId Id;
  bool operator==(const InstanceLeaving &) const = default;
};

enum class RetireReason : std::uint8_t {
  /// The lease is no longer renewed. Successors wait for the witnesses to
  /// confirm its expiry.
  Lost,
  /// The instance appended the record itself after it stopped serving.
  Stopped,
  /// An operator asserts that the instance no longer runs. Successors do not
  /// wait.
  DeclaredLost,
};

/// An instance permanently loses ownership of all slices. Accepted if the
/// instance is live and its witness version still is \p WitnessVersion.
struct InstanceRetired {
  core::InstanceId Id;
  std::uint64_t WitnessVersion = 0;
  RetireReason Reason = RetireReason::Lost;
  core::InstanceId By;
  bool operator==(const InstanceRetired &) const = default;
};

/// A holder replaces its own witnesses. Accepted if the instance is live and
/// its witness version still is \p Basis.
struct WitnessesChanged {
  core::InstanceId Holder;
  std::uint64_t Basis = 0;
  std::vector<core::InstanceId> Witnesses;
  bool operator==(const WitnessesChanged &) const = default;
};

/// A slice and the epoch that a record or message refers to.
struct SliceEpoch {
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  bool operator==(const SliceEpoch &) const = default;
};

/// A former owner has stopped serving these slices. Accepted for each slice
/// that still lists \p By as a predecessor at that epoch.
struct SlicesReleased {
  core::InstanceId By;
  std::vector<SliceEpoch> Slices;
  bool operator==(const SlicesReleased &) const = default;
};

/// The owner has finished waiting for all predecessors of these slices and
/// serves them.
/// Accepted for each slice that \p By owns at that epoch.
struct SlicesStarted {
  core::InstanceId By;
  std::vector<SliceEpoch> Slices;
  bool operator==(const SlicesStarted &) const = default;
};

/// A planned move of one slice to another live instance of its service.
/// Accepted if the slice is at \p Basis.
struct SliceMoved {
  core::SliceId Slice;
  core::Epoch Basis = 0;
  core::InstanceId To;
  bool operator==(const SliceMoved &) const = default;
};

/// Creates a dedicated slice for one key, owned by the owner of the numbered
/// slice that held the key. Accepted if that slice is at \p Basis and the
/// service has fewer than MaxHotKeys hot keys.
struct HotKeyAdded {
  std::string Service;
  std::uint64_t KeyHash = 0;
  core::Epoch Basis = 0;
  bool operator==(const HotKeyAdded &) const = default;
};

/// Merges a hot key back into its numbered slice.
struct HotKeyRemoved {
  std::string Service;
  std::uint64_t KeyHash = 0;
  core::Epoch Basis = 0;
  bool operator==(const HotKeyRemoved &) const = default;
};

/// Sets the share of a data centre in thousandths: 0 takes it out of service,
/// 1000 is the full share.
/// Accepted if the data centre's version still is \p Basis.
struct DataCentreShareSet {
  std::string DataCentre;
  std::uint64_t Basis = 0;
  std::uint32_t SharePermille = 1000;
  bool operator==(const DataCentreShareSet &) const = default;
};

/// Sets the number of slices of a service. Accepted once for a service.
struct ServiceDefined {
  std::string Service;
  std::uint32_t SliceCount = 64;
  bool operator==(const ServiceDefined &) const = default;
};

/// Any record of this aggregate.
using OwnershipRecord =
    std::variant<ServiceDefined, InstanceJoined, InstanceLeaving,
                 InstanceRetired, WitnessesChanged, SlicesReleased,
                 SlicesStarted, SliceMoved, HotKeyAdded, HotKeyRemoved,
                 DataCentreShareSet>;

} // namespace acaciaroad::ownership

#endif
