#include "Ownership/LeaseExpiryTracker.h"

#include <algorithm>

namespace acaciaroad::ownership {

void LeaseExpiryTracker::setHolders(const std::set<core::InstanceId> &holders) {
  std::erase_if(Holders, [&holders](const auto &it) {
    return !holders.contains(it.first);
  });
  for (const core::InstanceId it : holders)
    Holders.try_emplace(it);
}

bool LeaseExpiryTracker::onConfirmed(core::InstanceId holder,
                                     core::InstanceId witness,
                                     const FleetMap &map, core::TimePoint now) {
  const auto it = Holders.find(holder);
  const InstanceState *state = map.instance(holder);
  if (it == Holders.end() || state == nullptr || it->second.ExpiredAt)
    return false;
  const auto &witnesses = state->Witnesses;
  if (std::find(witnesses.begin(), witnesses.end(), witness) == witnesses.end())
    return false;
  it->second.Confirmed.insert(witness);
  if (it->second.Confirmed.size() < blockingCount(witnesses.size()))
    return false;
  const bool mayOverrun = !state->Info->ChecksGrants;
  it->second.ExpiredAt =
      now + (mayOverrun ? Rules.OrderOverrun : Rules.OrderOverrun.zero());
  return true;
}

bool LeaseExpiryTracker::isLapsed(core::InstanceId holder,
                                  core::TimePoint now) const {
  const auto it = Holders.find(holder);
  return it != Holders.end() && it->second.ExpiredAt &&
         *it->second.ExpiredAt <= now;
}

std::vector<LeaseExpiryQuery> LeaseExpiryTracker::onTick(const FleetMap &map,
                                                         core::TimePoint now) {
  std::vector<LeaseExpiryQuery> out;
  for (auto &[id, holder] : Holders) {
    const InstanceState *state = map.instance(id);
    if (holder.ExpiredAt || now < holder.NextQuery || state == nullptr)
      continue;
    holder.NextQuery = now + Rules.RenewInterval;
    for (const core::InstanceId it : state->Witnesses)
      if (!holder.Confirmed.contains(it))
        out.push_back({id, it});
  }
  return out;
}

std::optional<core::TimePoint>
LeaseExpiryTracker::nextDeadline(core::TimePoint now) const {
  std::optional<core::TimePoint> out;
  for (const auto &[id, holder] : Holders) {
    if (holder.ExpiredAt && *holder.ExpiredAt <= now)
      continue;
    const core::TimePoint due = holder.ExpiredAt.value_or(holder.NextQuery);
    out = out ? std::min(*out, due) : due;
  }
  return out;
}

} // namespace acaciaroad::ownership
