#include "Ownership/ServiceSlices.h"

#include <algorithm>

namespace acaciaroad::ownership {

ServiceSlices::ServiceSlices(std::string name, std::uint32_t number,
                             std::uint32_t sliceCount)
    : Name(std::move(name)), Number(number), Numbered(sliceCount) {
  for (core::SliceIndex n = 0; n < sliceCount; ++n)
    Orphans.insert(Orphans.end(), n);
}

ServiceSlices::ServiceSlices(const ServiceSnapshot &from, std::uint32_t number)
    : Name(from.Name), Number(number), Numbered(from.Slices.size()),
      Hot(from.Hot), NextHot(from.NextHot) {
  for (std::size_t n = 0; n < from.Slices.size(); ++n)
    Numbered.edit(n) = from.Slices[n];
}

const SliceState *ServiceSlices::find(core::SliceIndex index) const {
  if (index < Numbered.size())
    return &Numbered[index];
  for (const HotSlice &it : Hot)
    if (it.Index == index)
      return &it.State;
  return nullptr;
}

SliceState &ServiceSlices::edit(core::SliceIndex index) {
  Published.reset();
  if (index < Numbered.size())
    return Numbered.edit(index);
  const auto it =
      std::find_if(Hot.begin(), Hot.end(),
                   [index](const HotSlice &h) { return h.Index == index; });
  return it->State;
}

core::SliceIndex ServiceSlices::indexOf(std::uint64_t keyHash) const {
  if (const HotSlice *hot = findHot(Hot, keyHash))
    return hot->Index;
  return static_cast<core::SliceIndex>(keyHash % Numbered.size());
}

void ServiceSlices::setOwner(core::SliceIndex index, core::InstanceId to) {
  SliceState &state = edit(index);
  if (state.Owner)
    Members.take(state.Owner, index);
  else
    Orphans.erase(index);
  state.Owner = to;
  ++state.Epoch;
  if (to)
    Members.give(to, index);
  else
    Orphans.insert(index);
}

core::SliceIndex ServiceSlices::addHot(std::uint64_t keyHash,
                                       const SliceState &parent) {
  const core::SliceIndex index = NextHot++;
  const auto at = std::lower_bound(
      Hot.begin(), Hot.end(), keyHash,
      [](const HotSlice &h, std::uint64_t hash) { return h.KeyHash < hash; });
  Hot.insert(at, {keyHash, index, parent});
  Members.give(parent.Owner, index);
  Published.reset();
  return index;
}

void ServiceSlices::removeHot(std::uint64_t keyHash) {
  const auto it =
      std::find_if(Hot.begin(), Hot.end(), [keyHash](const HotSlice &h) {
        return h.KeyHash == keyHash;
      });
  Members.take(it->State.Owner, it->Index);
  Hot.erase(it);
  Published.reset();
}

void ServiceSlices::addSlicesToPlacement() {
  const auto place = [this](core::SliceIndex index, const SliceState &state) {
    if (state.Owner)
      Members.give(state.Owner, index);
    else
      Orphans.insert(index);
  };
  for (core::SliceIndex n = 0; n < Numbered.size(); ++n)
    place(n, Numbered[n]);
  for (const HotSlice &it : Hot)
    place(it.Index, it.State);
}

ServiceSnapshot ServiceSlices::snapshot() const {
  ServiceSnapshot out{Name, NextHot, {}, Hot};
  out.Slices.reserve(Numbered.size());
  for (std::size_t n = 0; n < Numbered.size(); ++n)
    out.Slices.push_back(Numbered[n]);
  return out;
}

std::shared_ptr<const ServiceView> ServiceSlices::share() {
  if (Published && Eligible)
    return Published;
  if (!Eligible)
    Eligible = std::make_shared<const std::vector<core::InstanceId>>(
        Members.eligible());
  Published = std::make_shared<const ServiceView>(
      ServiceView{Number, sliceCount(), Numbered.share(), Hot, Eligible});
  return Published;
}

} // namespace acaciaroad::ownership
