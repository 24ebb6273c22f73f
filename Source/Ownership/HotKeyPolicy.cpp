#include "Ownership/HotKeyPolicy.h"

namespace acaciaroad::ownership {

namespace {

constexpr std::uint64_t Thousand = 1000;

} // namespace

std::optional<OwnershipRecord> HotKeyPolicy::decide(const FleetMap &map,
                                                    std::uint32_t loadPermille,
                                                    core::TimePoint now) {
  const ServiceSlices *service = map.service(Service);
  if (now < NextDecision || service == nullptr)
    return std::nullopt;
  NextDecision = now + Options.Interval;
  updateOverload(loadPermille, now);
  std::optional<OwnershipRecord> out;
  if (OverloadedSince && now - *OverloadedSince >= Options.OverloadDwell) {
    out = proposeLoadReduction(*service);
    // Wait for this change to take effect before the next proposal.
    OverloadedSince = now;
  } else {
    out = proposeHotKeyRemoval(*service, now);
  }
  Counter.decay();
  return out;
}

void HotKeyPolicy::updateOverload(std::uint32_t loadPermille,
                                  core::TimePoint now) {
  if (loadPermille < Options.LowPermille)
    OverloadedSince.reset();
  else if (loadPermille >= Options.HighPermille && !OverloadedSince)
    OverloadedSince = now;
}

std::optional<OwnershipRecord>
HotKeyPolicy::proposeLoadReduction(const ServiceSlices &service) {
  const std::uint64_t least =
      Counter.total() * Options.HotPermille / Thousand + 1;
  for (const KeyCount &it : Counter.top(least)) {
    const core::SliceIndex index = service.indexOf(it.KeyHash);
    const SliceState &state = *service.find(index);
    if (!isOwnedAndSettled(state))
      continue;
    if (index < HotSliceBase && service.hot().size() < MaxHotKeys)
      return HotKeyAdded{Service, it.KeyHash, state.Epoch};
    if (permilleOf(it.Count) > Options.DominantPermille)
      return proposeNumberedSliceMove(service);
    return proposeMove(service, index);
  }
  return proposeNumberedSliceMove(service);
}

std::optional<OwnershipRecord>
HotKeyPolicy::proposeNumberedSliceMove(const ServiceSlices &service) {
  const auto owned = service.placement().ownedBy(Self);
  for (const core::SliceIndex it : owned)
    if (it < HotSliceBase && owned.size() > 1 &&
        isOwnedAndSettled(*service.find(it)))
      return proposeMove(service, it);
  return std::nullopt;
}

std::optional<OwnershipRecord>
HotKeyPolicy::proposeMove(const ServiceSlices &service,
                          core::SliceIndex index) {
  const auto target = ChooseTarget();
  if (!target || *target == Self || !service.placement().isEligible(*target))
    return std::nullopt;
  return SliceMoved{{Service, index}, service.find(index)->Epoch, *target};
}

std::optional<OwnershipRecord>
HotKeyPolicy::proposeHotKeyRemoval(const ServiceSlices &service,
                                   core::TimePoint now) {
  const std::uint64_t limit = Counter.total() * Options.ColdPermille / Thousand;
  std::optional<OwnershipRecord> out;
  for (const HotSlice &it : service.hot()) {
    if (!isOwnedAndSettled(it.State) || Counter.countOf(it.KeyHash) > limit) {
      ColdSince.erase(it.KeyHash);
      continue;
    }
    const core::TimePoint since =
        ColdSince.try_emplace(it.KeyHash, now).first->second;
    if (out || now - since < Options.ColdDwell)
      continue;
    const SliceState &parent = *service.find(
        static_cast<core::SliceIndex>(it.KeyHash % service.sliceCount()));
    if (parent.Owner == Self)
      out = HotKeyRemoved{Service, it.KeyHash, it.State.Epoch};
    else if (service.placement().isEligible(parent.Owner))
      out = SliceMoved{{Service, it.Index}, it.State.Epoch, parent.Owner};
  }
  std::erase_if(ColdSince, [&service](const auto &entry) {
    return findHot(service.hot(), entry.first) == nullptr;
  });
  return out;
}

bool HotKeyPolicy::isOwnedAndSettled(const SliceState &state) const {
  return state.Owner == Self && state.Predecessors.empty();
}

std::uint64_t HotKeyPolicy::permilleOf(std::uint64_t count) const {
  return Counter.total() == 0 ? 0 : count * Thousand / Counter.total();
}

} // namespace acaciaroad::ownership
