/// \file
/// Which instances should be the witnesses of a holder.

#ifndef ACACIAROAD_OWNERSHIP_WITNESSPOLICY_H
#define ACACIAROAD_OWNERSHIP_WITNESSPOLICY_H

#include <set>
#include <span>
#include <vector>

#include "Core/Identifiers.h"
#include "Ownership/FleetMap.h"

namespace acaciaroad::ownership {

/// Witnesses of an instance in a fleet that is large enough. An odd number: a
/// second witness beside one would only add an instance that the lease needs.
inline constexpr std::size_t WitnessCount = 3;

/// How well witnesses serve.
enum class WitnessSetQuality : std::uint8_t {
  Good,
  /// Two are in one data centre though others are there.
  Colocated,
  /// One is gone, or there are too few.
  Deficient,
};

/// Chooses witnesses for the instance \p holder from the live instances of
/// \p map: no two in one data centre where possible, the holder's own data
/// centre last, other racks first, present witnesses before others. Instances
/// in \p avoided are taken only if there are no others.
std::vector<core::InstanceId>
chooseWitnesses(const FleetMap &map, const InstanceInfo &holder,
                std::span<const core::InstanceId> present,
                const std::set<core::InstanceId> &avoided);

/// Judges \p witnesses of a live holder.
WitnessSetQuality
evaluateWitnesses(const FleetMap &map,
                  std::span<const core::InstanceId> witnesses);

} // namespace acaciaroad::ownership

#endif
