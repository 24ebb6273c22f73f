#include "Ownership/LeaseWitness.h"

#include <algorithm>

namespace acaciaroad::ownership {

namespace {

/// Returns whether \p holder is retired according to \p map. A holder that
/// joined after the last record read is not known yet and counts as live.
bool isRetired(core::InstanceId holder, core::Offset joinedAt,
               const FleetMap &map) {
  if (map.instance(holder) != nullptr)
    return !map.holdsLease(holder);
  return map.lastOffset() && joinedAt <= *map.lastOffset();
}

} // namespace

bool LeaseWitness::onAsk(core::InstanceId holder, core::Offset joinedAt,
                         const FleetMap &map, core::TimePoint now) {
  if (isRetired(holder, joinedAt, map))
    return false;
  Entry &entry = Entries[holder];
  if (entry.IsRefused)
    return false;
  entry.ExpiresAt = now + Rules.Length + Rules.DriftAllowance;
  return true;
}

bool LeaseWitness::onConfirmQuery(core::InstanceId holder,
                                  core::InstanceId requester,
                                  const FleetMap &map, core::TimePoint now) {
  Entry &entry = Entries[holder];
  const bool isRead = map.instance(holder) && !map.holdsLease(holder);
  entry.IsRefused = entry.IsRefused || !isRead;
  if (entry.ExpiresAt <= now || InjectedFaults.Lapse)
    return true;
  entry.Requesters.insert(requester);
  return false;
}

void LeaseWitness::onRetired(core::InstanceId holder) {
  const auto it = Entries.find(holder);
  if (it != Entries.end())
    it->second.IsRefused = false;
}

std::vector<Confirmation> LeaseWitness::onTick(core::TimePoint now) {
  std::vector<Confirmation> out;
  for (auto it = Entries.begin(); it != Entries.end();) {
    Entry &entry = it->second;
    if (entry.ExpiresAt > now) {
      ++it;
      continue;
    }
    for (const core::InstanceId requester : entry.Requesters)
      out.push_back({it->first, requester});
    entry.Requesters.clear();
    // Keep a refusal reported by a successor until the log confirms it.
    it = entry.IsRefused ? std::next(it) : Entries.erase(it);
  }
  return out;
}

std::optional<core::TimePoint> LeaseWitness::nextDeadline() const {
  std::optional<core::TimePoint> out;
  for (const auto &[holder, entry] : Entries) {
    if (entry.Requesters.empty())
      continue;
    out = out ? std::min(*out, entry.ExpiresAt) : entry.ExpiresAt;
  }
  return out;
}

} // namespace acaciaroad::ownership
