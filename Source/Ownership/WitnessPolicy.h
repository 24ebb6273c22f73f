/// \file
/// Selection of the witnesses of a holder.

#ifndef ACACIAROAD_OWNERSHIP_WITNESSPOLICY_H
#define ACACIAROAD_OWNERSHIP_WITNESSPOLICY_H

#include <set>
#include <span>
#include <vector>

#include "Core/Identifiers.h"
#include "Ownership/FleetMap.h"

namespace acaciaroad::ownership {

/// Number of witnesses of an instance in a sufficiently large fleet. Odd, since
/// an even number tolerates no more failures: with two witnesses instead of
/// one, the lease would depend on both.
inline constexpr std::size_t WitnessCount = 3;

/// How well a set of witnesses is distributed.
enum class WitnessSetQuality : std::uint8_t {
  Good,
  /// Two witnesses share a data centre although others are available.
  Colocated,
  /// A witness is not live, or there are too few.
  Deficient,
};

/// Chooses witnesses for the instance \p holder from the live instances of
/// \p map. In order of priority: no two in one data centre, not in the holder's
/// data centre, different racks, current witnesses before others. Instances in
/// \p avoided are chosen only if there are no others.
std::vector<core::InstanceId>
chooseWitnesses(const FleetMap &map, const InstanceInfo &holder,
                std::span<const core::InstanceId> present,
                const std::set<core::InstanceId> &avoided);

/// Evaluates the \p witnesses of a live holder.
WitnessSetQuality
evaluateWitnesses(const FleetMap &map,
                  std::span<const core::InstanceId> witnesses);

} // namespace acaciaroad::ownership

#endif
