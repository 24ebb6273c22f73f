/// \file
/// Assigns the slices of one service to instances. Deterministic and in integer
/// arithmetic only, so that every reader of the log gets the same result.

#ifndef ACACIAROAD_OWNERSHIP_PLACEMENT_H
#define ACACIAROAD_OWNERSHIP_PLACEMENT_H

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Core/Identifiers.h"

namespace acaciaroad::ownership {

/// The members of one service and the slices each owns, ordered by load
/// relative to their share. Ties are broken by the first id at or after a hash,
/// which spreads choices over the members in O(log members).
class Placement {
public:
  /// Adds \p id with a share of \p sharePermille thousandths. A member with
  /// share 0 is not eligible.
  void addMember(core::InstanceId id, std::uint32_t sharePermille);

  /// Removes \p id, which must not own any slices.
  void removeMember(core::InstanceId id);

  /// Changes the share of \p id, if it is a member.
  void setShare(core::InstanceId id, std::uint32_t sharePermille);

  void give(core::InstanceId id, core::SliceIndex slice);
  void take(core::InstanceId id, core::SliceIndex slice);

  /// Returns the slices of \p id in ascending order.
  std::span<const core::SliceIndex> ownedBy(core::InstanceId id) const;

  bool isEligible(core::InstanceId id) const;

  /// Returns the eligible member with the lowest load, or nothing.
  std::optional<core::InstanceId> leastLoaded(std::uint64_t tieBreak) const;

  /// Returns the eligible member with the highest load, or nothing.
  std::optional<core::InstanceId> mostLoaded(std::uint64_t tieBreak) const;

  /// Returns the fair share of \p id in \p sliceCount slices, rounded down.
  std::uint32_t fairShare(core::InstanceId id, std::uint32_t sliceCount) const;

  /// Returns the eligible members, sorted by id.
  const std::vector<core::InstanceId> &eligible() const { return Eligible; }

private:
  struct Member {
    std::uint32_t SharePermille = 0;
    std::vector<core::SliceIndex> Owned;
  };
  using OrderKey = std::pair<std::uint64_t, std::uint64_t>;

  static OrderKey orderKeyOf(core::InstanceId id, const Member &member);
  void unlist(core::InstanceId id, const Member &member);
  void list(core::InstanceId id, const Member &member);
  void setEligible(core::InstanceId id, bool isEligible);

  std::unordered_map<core::InstanceId, Member> Members;
  /// Eligible members, sorted by relative load, then id.
  std::set<OrderKey> Order;
  std::vector<core::InstanceId> Eligible;
  std::uint64_t TotalShare = 0;
};

} // namespace acaciaroad::ownership

#endif
