#include "Ownership/SliceLedger.h"

#include <algorithm>

namespace acaciaroad::ownership {

void SliceLedger::onSliceChanged(SliceRef ref, const FleetMap &map) {
  const SliceState *state = map.slice(ref);
  if (state != nullptr && state->Owner == Self)
    onGained(ref, *state);
  else
    onLost(ref, state);
}

void SliceLedger::onGained(SliceRef ref, const SliceState &state) {
  const auto it = Own.find(ref);
  if (it != Own.end() && it->second.Epoch == state.Epoch) {
    if (state.Predecessors.empty())
      Unrecorded.erase(ref);
    return;
  }
  const auto drain = Drains.find(ref);
  const bool wasServing =
      it != Own.end() && (it->second.IsStarted || it->second.MayRun);
  const bool mayRun =
      wasServing || (drain != Drains.end() && !drain->second.IsIdle);
  if (drain != Drains.end())
    Drains.erase(drain);
  Own[ref] = {state.Epoch, false, mayRun};
  Waiting.insert(ref);
}

void SliceLedger::onLost(SliceRef ref, const SliceState *state) {
  const auto own = Own.find(ref);
  const Predecessor *listed = nullptr;
  if (state != nullptr)
    for (const Predecessor &it : state->Predecessors)
      if (it.Id == Self)
        listed = &it;
  bool isIdle = true;
  if (own != Own.end()) {
    const bool mayRun = own->second.IsStarted || own->second.MayRun;
    isIdle = !mayRun || InjectedFaults.Drain;
    Own.erase(own);
    Waiting.erase(ref);
    Unrecorded.erase(ref);
  } else if (const auto it = Drains.find(ref); it != Drains.end()) {
    isIdle = it->second.IsIdle;
  }
  if (listed == nullptr) {
    Drains.erase(ref);
    return;
  }
  // A single record can assign a slice to this instance and take it away again,
  // so the epoch to release may be one at which this instance never saw itself
  // as the owner.
  Drain &drain = Drains[ref];
  if (drain.Epoch != listed->Epoch)
    drain.NextAppend = {};
  drain.Epoch = listed->Epoch;
  drain.IsIdle = isIdle;
}

void SliceLedger::onReleased(core::InstanceId by, const Released &message,
                             const FleetMap &map) {
  dropOldReleases(map);
  for (const SliceEpoch &it : message.Slices)
    if (const auto ref = map.refOf(it.Slice))
      Releases.insert({*ref, {by, it.Epoch}});
}

void SliceLedger::dropOldReleases(const FleetMap &map) {
  std::erase_if(Releases, [&map](const Release &it) {
    const SliceState *state = map.slice(it.Slice);
    if (state == nullptr)
      return true;
    const auto &list = state->Predecessors;
    const bool isListed =
        std::find(list.begin(), list.end(), it.By) != list.end();
    // The release message may arrive before the record of the move.
    return !isListed && state->Epoch > it.By.Epoch;
  });
}

void SliceLedger::onIdle(SliceRef ref) {
  if (const auto it = Drains.find(ref); it != Drains.end())
    it->second.IsIdle = true;
  if (const auto it = Own.find(ref); it != Own.end())
    it->second.MayRun = false;
}

bool SliceLedger::start(const FleetMap &map,
                        const LeaseExpiredFunction &isLapsed,
                        const MayStartFunction &mayStart) {
  bool hasStarted = false;
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    const SliceRef ref = *it;
    const SliceState &state = *map.slice(ref);
    const auto &list = state.Predecessors;
    const bool isClear =
        std::all_of(list.begin(), list.end(), [&](const Predecessor &p) {
          return Releases.contains({ref, p}) ||
                 (!map.holdsLease(p.Id) && isLapsed(p.Id));
        });
    if (!isClear || (mayStart && !mayStart(map.idOf(ref)))) {
      ++it;
      continue;
    }
    Own[ref].IsStarted = true;
    if (!list.empty())
      Unrecorded[ref] = {};
    it = Waiting.erase(it);
    hasStarted = true;
  }
  return hasStarted;
}

std::set<core::InstanceId>
SliceLedger::lostPredecessors(const FleetMap &map) const {
  std::set<core::InstanceId> out;
  for (const SliceRef ref : Waiting)
    for (const Predecessor &it : map.slice(ref)->Predecessors)
      if (!map.holdsLease(it.Id))
        out.insert(it.Id);
  return out;
}

std::vector<SliceEpoch> SliceLedger::takeDueStarts(const FleetMap &map,
                                                   core::TimePoint now) {
  std::vector<SliceEpoch> out;
  for (auto &[ref, nextAppend] : Unrecorded) {
    if (now < nextAppend)
      continue;
    nextAppend = now + Retry;
    out.push_back({map.idOf(ref), Own.at(ref).Epoch});
  }
  return out;
}

std::vector<SliceEpoch> SliceLedger::takeDueReleases(const FleetMap &map,
                                                     core::TimePoint now) {
  std::vector<SliceEpoch> out;
  for (auto &[ref, drain] : Drains) {
    if (!drain.IsIdle || now < drain.NextAppend)
      continue;
    drain.NextAppend = now + Retry;
    out.push_back({map.idOf(ref), drain.Epoch});
  }
  return out;
}

std::vector<SliceRef> SliceLedger::draining() const {
  std::vector<SliceRef> out;
  for (const auto &[ref, drain] : Drains)
    if (!drain.IsIdle)
      out.push_back(ref);
  return out;
}

std::shared_ptr<const GrantTable> SliceLedger::grants() const {
  auto out = std::make_shared<GrantTable>();
  for (const auto &[ref, slice] : Own)
    if (slice.IsStarted)
      out->emplace_hint(out->end(), ref, slice.Epoch);
  return out;
}

void SliceLedger::clear() {
  Own.clear();
  Waiting.clear();
  Unrecorded.clear();
  Drains.clear();
  Releases.clear();
}

} // namespace acaciaroad::ownership
