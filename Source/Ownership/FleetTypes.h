/// \file
/// Values that the folded state of ownership consists of.

#ifndef ACACIAROAD_OWNERSHIP_FLEETTYPES_H
#define ACACIAROAD_OWNERSHIP_FLEETTYPES_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Identifiers.h"
#include "Ownership/OwnershipRecord.h"

namespace acaciaroad::ownership {

/// System service whose slices hold the token buckets of client accounts; every
/// instance is a member.
inline constexpr std::string_view AccountsService = "_accounts";

/// Slices of a service that no ServiceDefined record has sized.
inline constexpr std::uint32_t DefaultSliceCount = 1024;

/// Most slices of a service.
inline constexpr std::uint32_t MaxSliceCount = 1U << 20U;

/// Slices of hot keys are numbered from here on.
inline constexpr core::SliceIndex HotSliceBase = 1U << 31U;

/// Most hot keys of a service.
inline constexpr std::size_t MaxHotKeys = 256;

/// Most witnesses of an instance.
inline constexpr std::size_t MaxWitnesses = 5;

/// Full share of a data centre.
inline constexpr std::uint32_t FullSharePermille = 1000;

/// A former owner that may still serve a slice, at the epoch it had.
struct Predecessor {
  core::InstanceId Id;
  core::Epoch Epoch = 0;
  // clang-tidy 14 takes the 0 in rewritten comparisons for a pointer.
  auto operator<=>(const Predecessor &) const = default; // NOLINT
};

/// Who owns a slice, and whom the owner has to wait for.
struct SliceState {
  /// 0 while no instance of the service is eligible.
  core::InstanceId Owner;
  core::Epoch Epoch = 0;
  std::vector<Predecessor> Predecessors;
  bool operator==(const SliceState &) const = default;
};

/// A slice by number: services are numbered in the order of the log.
struct SliceRef {
  std::uint32_t Service = 0;
  core::SliceIndex Index = 0;
  // clang-tidy 14 takes the 0 in rewritten comparisons for a pointer.
  auto operator<=>(const SliceRef &) const = default; // NOLINT
};

/// The owner of a key at some point of the log.
struct SliceOwner {
  core::InstanceId Instance;
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  bool operator==(const SliceOwner &) const = default;
};

enum class InstanceStatus : std::uint8_t {
  Live,
  /// Gives its slices away; still has a lease.
  Leaving,
  /// Retired; kept while a slice lists it as predecessor.
  Lost,
};

/// A slice of one hot key.
struct HotSlice {
  std::uint64_t KeyHash = 0;
  core::SliceIndex Index = 0;
  SliceState State;
  bool operator==(const HotSlice &) const = default;
};

struct ServiceSnapshot {
  std::string Name;
  /// Index that the next hot key receives.
  core::SliceIndex NextHot = HotSliceBase;
  std::vector<SliceState> Slices;
  std::vector<HotSlice> Hot;
  bool operator==(const ServiceSnapshot &) const = default;
};

struct InstanceSnapshot {
  InstanceInfo Info;
  InstanceStatus Status = InstanceStatus::Live;
  core::Offset JoinedAt = 0;
  std::uint64_t WitnessVersion = 0;
  std::vector<core::InstanceId> Witnesses;
  bool operator==(const InstanceSnapshot &) const = default;
};

struct DataCentreSnapshot {
  std::string Name;
  std::uint64_t Version = 0;
  std::uint32_t SharePermille = FullSharePermille;
  bool operator==(const DataCentreSnapshot &) const = default;
};

/// The whole folded state, for checkpoint records.
struct FleetSnapshot {
  /// Offset of the last record folded; nothing before the first.
  std::optional<core::Offset> LastOffset;
  std::vector<ServiceSnapshot> Services;
  /// In the order of their ids.
  std::vector<InstanceSnapshot> Instances;
  std::vector<DataCentreSnapshot> DataCentres;
  /// Ids retired last, oldest first.
  std::vector<core::InstanceId> Retired;
  bool operator==(const FleetSnapshot &) const = default;
};

} // namespace acaciaroad::ownership

#endif
