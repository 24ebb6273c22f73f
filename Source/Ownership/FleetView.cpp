#include "Ownership/FleetView.h"

#include <algorithm>

namespace acaciaroad::ownership {

const HotSlice *findHot(std::span<const HotSlice> hot, std::uint64_t keyHash) {
  const auto it = std::lower_bound(
      hot.begin(), hot.end(), keyHash,
      [](const HotSlice &h, std::uint64_t hash) { return h.KeyHash < hash; });
  return it != hot.end() && it->KeyHash == keyHash ? &*it : nullptr;
}

std::optional<SliceOwner> FleetView::ownerOf(std::string_view service,
                                             std::uint64_t keyHash) const {
  const auto it = Services.find(service);
  if (it == Services.end())
    return std::nullopt;
  const ServiceView &view = *it->second;
  if (const HotSlice *hot = findHot(view.Hot, keyHash))
    return SliceOwner{
        hot->State.Owner, {it->first, hot->Index}, hot->State.Epoch};
  const auto index = static_cast<core::SliceIndex>(keyHash % view.SliceCount);
  const SliceState &state = view.Slices[index];
  return SliceOwner{state.Owner, {it->first, index}, state.Epoch};
}

InstanceInfoPtr FleetView::instance(core::InstanceId id) const {
  const auto &shard = Shards[shardOf(id)];
  if (!shard)
    return nullptr;
  const auto it =
      std::lower_bound(shard->begin(), shard->end(), id,
                       [](const InstanceInfoPtr &info, core::InstanceId i) {
                         return info->Id < i;
                       });
  return it != shard->end() && (*it)->Id == id ? *it : nullptr;
}

std::span<const core::InstanceId>
FleetView::eligible(std::string_view service) const {
  const ServiceView *view = this->service(service);
  if (view == nullptr)
    return {};
  return *view->Eligible;
}

const ServiceView *FleetView::service(std::string_view name) const {
  const auto it = Services.find(name);
  return it == Services.end() ? nullptr : it->second.get();
}

} // namespace acaciaroad::ownership
