/// \file
/// The part of the ownership state that traffic threads read.

#ifndef ACACIAROAD_OWNERSHIP_FLEETVIEW_H
#define ACACIAROAD_OWNERSHIP_FLEETVIEW_H

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Identifiers.h"
#include "Ownership/CowArray.h"
#include "Ownership/FleetTypes.h"

namespace acaciaroad::ownership {

/// Immutable description of an instance, shared by all views.
using InstanceInfoPtr = std::shared_ptr<const InstanceInfo>;

/// Number of shards of the instance table; a change copies one shard.
inline constexpr std::size_t InstanceShardCount = 256;

/// Instances of one shard, sorted by id.
using InstanceShard = std::vector<InstanceInfoPtr>;
using InstanceShards =
    std::array<std::shared_ptr<const InstanceShard>, InstanceShardCount>;

/// Published state of one service.
struct ServiceView {
  std::uint32_t Number = 0;
  std::uint32_t SliceCount = 0;
  CowArray<SliceState>::View Slices;
  /// Sorted by key hash.
  std::vector<HotSlice> Hot;
  /// Instances that accept new work, sorted by id.
  std::shared_ptr<const std::vector<core::InstanceId>> Eligible;
};

/// An immutable snapshot of the fleet. Copies share unchanged data.
class FleetView {
public:
  using ServiceMap =
      std::map<std::string, std::shared_ptr<const ServiceView>, std::less<>>;

  FleetView() = default;
  FleetView(ServiceMap services, InstanceShards shards)
      : Services(std::move(services)), Shards(std::move(shards)) {}

  /// Returns the owner of \p keyHash, or nothing if the service is unknown. The
  /// instance id is 0 if the slice has no owner.
  std::optional<SliceOwner> ownerOf(std::string_view service,
                                    std::uint64_t keyHash) const;

  /// Returns the description of a live or leaving instance, or null.
  InstanceInfoPtr instance(core::InstanceId id) const;

  /// Returns the instances of \p service that accept new work, sorted by id.
  std::span<const core::InstanceId> eligible(std::string_view service) const;

  /// Returns the service called \p name, or null.
  const ServiceView *service(std::string_view name) const;

private:
  ServiceMap Services;
  InstanceShards Shards;
};

/// Returns the index of the shard that holds \p id.
inline std::size_t shardOf(core::InstanceId id) {
  return id.Value % InstanceShardCount;
}

/// Returns the hot slice of \p keyHash, or null.
const HotSlice *findHot(std::span<const HotSlice> hot, std::uint64_t keyHash);

} // namespace acaciaroad::ownership

#endif
