#include "Ownership/Placement.h"

#include <algorithm>

#include "Ownership/FleetTypes.h"

namespace acaciaroad::ownership {

void Placement::addMember(core::InstanceId id, std::uint32_t sharePermille) {
  auto [it, isNew] = Members.try_emplace(id);
  if (!isNew)
    return;
  it->second.SharePermille = sharePermille;
  list(id, it->second);
  setEligible(id, sharePermille > 0);
}

void Placement::removeMember(core::InstanceId id) {
  const auto it = Members.find(id);
  if (it == Members.end())
    return;
  unlist(id, it->second);
  Members.erase(it);
  setEligible(id, false);
}

void Placement::setShare(core::InstanceId id, std::uint32_t sharePermille) {
  const auto it = Members.find(id);
  if (it == Members.end())
    return;
  unlist(id, it->second);
  it->second.SharePermille = sharePermille;
  list(id, it->second);
  setEligible(id, sharePermille > 0);
}

void Placement::give(core::InstanceId id, core::SliceIndex slice) {
  Member &member = Members.at(id);
  unlist(id, member);
  auto &owned = member.Owned;
  owned.insert(std::lower_bound(owned.begin(), owned.end(), slice), slice);
  list(id, member);
}

void Placement::take(core::InstanceId id, core::SliceIndex slice) {
  Member &member = Members.at(id);
  unlist(id, member);
  auto &owned = member.Owned;
  const auto it = std::lower_bound(owned.begin(), owned.end(), slice);
  if (it != owned.end() && *it == slice)
    owned.erase(it);
  list(id, member);
}

std::span<const core::SliceIndex>
Placement::ownedBy(core::InstanceId id) const {
  const auto it = Members.find(id);
  if (it == Members.end())
    return {};
  return it->second.Owned;
}

bool Placement::isEligible(core::InstanceId id) const {
  const auto it = Members.find(id);
  return it != Members.end() && it->second.SharePermille > 0;
}

std::optional<core::InstanceId>
Placement::leastLoaded(std::uint64_t tieBreak) const {
  if (Order.empty())
    return std::nullopt;
  const std::uint64_t load = Order.begin()->first;
  auto it = Order.lower_bound({load, tieBreak});
  if (it == Order.end() || it->first != load)
    it = Order.begin();
  return core::InstanceId{it->second};
}

std::optional<core::InstanceId>
Placement::mostLoaded(std::uint64_t tieBreak) const {
  if (Order.empty())
    return std::nullopt;
  const std::uint64_t load = Order.rbegin()->first;
  auto it = Order.lower_bound({load, tieBreak});
  if (it == Order.end())
    it = Order.lower_bound({load, 0});
  return core::InstanceId{it->second};
}

std::uint32_t Placement::fairShare(core::InstanceId id,
                                   std::uint32_t sliceCount) const {
  const auto it = Members.find(id);
  if (it == Members.end() || TotalShare == 0)
    return 0;
  const std::uint64_t share = it->second.SharePermille;
  return static_cast<std::uint32_t>(sliceCount * share / TotalShare);
}

void Placement::setEligible(core::InstanceId id, bool isEligible) {
  const auto it = std::lower_bound(Eligible.begin(), Eligible.end(), id);
  const bool isListed = it != Eligible.end() && *it == id;
  if (isEligible && !isListed)
    Eligible.insert(it, id);
  else if (!isEligible && isListed)
    Eligible.erase(it);
}

Placement::OrderKey Placement::orderKeyOf(core::InstanceId id,
                                          const Member &member) {
  // The load of the member with one more slice, so that an empty member with a
  // small share sorts after an empty member with the full share.
  const std::uint64_t load = member.Owned.size() + 1;
  return {load * FullSharePermille / member.SharePermille, id.Value};
}

void Placement::unlist(core::InstanceId id, const Member &member) {
  if (member.SharePermille == 0)
    return;
  Order.erase(orderKeyOf(id, member));
  TotalShare -= member.SharePermille;
}

void Placement::list(core::InstanceId id, const Member &member) {
  if (member.SharePermille == 0)
    return;
  Order.insert(orderKeyOf(id, member));
  TotalShare += member.SharePermille;
}

} // namespace acaciaroad::ownership
