/// \file
/// Value types of the ownership state.

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

/// Number of slices of a service without a ServiceDefined record.
inline constexpr std::uint32_t DefaultSliceCount = 1024;

/// Maximum number of slices of a service.
inline constexpr std::uint32_t MaxSliceCount = 1U << 20U;

/// First slice index used for hot keys.
inline constexpr core::SliceIndex HotSliceBase = 1U << 31U;

/// Maximum number of hot keys of a service.
inline constexpr std::size_t MaxHotKeys = 256;

/// Maximum number of witnesses of an instance.
inline constexpr std::size_t MaxWitnesses = 5;

/// Share of a data centre that takes its full load, in thousandths.
inline constexpr std::uint32_t FullSharePermille = 1000;

/// A former owner that may still serve a slice, and its epoch as owner.
struct Predecessor {
  core::InstanceId Id;
  core::Epoch Epoch = 0;
  // clang-tidy 14 mistakes the 0 in rewritten comparisons for a null pointer.
  auto operator<=>(const Predecessor &) const = default; // NOLINT
};

/// The owner of a slice, and the former owners it must wait for.
struct SliceState {
  /// 0 if no instance of the service is eligible.
  core::InstanceId Owner;
  core::Epoch Epoch = 0;
  std::vector<Predecessor> Predecessors;
  bool operator==(const SliceState &) const = default;
};

/// A compact slice reference. Services are numbered in log order.
struct SliceRef {
  std::uint32_t Service = 0;
  core::SliceIndex Index = 0;
  // clang-tidy 14 mistakes the 0 in rewritten comparisons for a null pointer.
  auto operator<=>(const SliceRef &) const = default; // NOLINT
};

/// The owner of a key at some log offset.
struct SliceOwner {
  core::InstanceId Instance;
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  bool operator==(const SliceOwner &) const = default;
};

enum class InstanceStatus : std::uint8_t {
  Live,
  /// Hands its slices over; still has a lease.
  Leaving,
  /// Retired; kept while a slice lists it as predecessor.
  Lost,
};

/// A dedicated slice for one hot key.
struct HotSlice {
  std::uint64_t KeyHash = 0;
  core::SliceIndex Index = 0;
  SliceState State;
  bool operator==(const HotSlice &) const = default;
};

struct ServiceSnapshot {
  std::string Name;
  /// Slice index of the next hot key.
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

/// The complete ownership state, for checkpoint records.
struct FleetSnapshot {
  /// Offset of the last record read; empty before the first one.
  std::optional<core::Offset> LastOffset;
  std::vector<ServiceSnapshot> Services;
  /// Sorted by id.
  std::vector<InstanceSnapshot> Instances;
  std::vector<DataCentreSnapshot> DataCentres;
  /// Most recently retired ids, oldest first.
  std::vector<core::InstanceId> Retired;
  bool operator==(const FleetSnapshot &) const = default;
};

} // namespace acaciaroad::ownership

#endif
