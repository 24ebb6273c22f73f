#include "Requests/HandoverTracker.h"

#include <algorithm>
#include <utility>

namespace acaciaroad::requests {

namespace {

/// Returns the smallest number of \p count witnesses that intersects every
/// majority of them.
std::size_t blockingSetSize(std::size_t count) { return count - count / 2; }

/// Returns whether nobody can hand over the ids: a retired owner without
/// witnesses.
bool isUnrecoverable(const HandoverSource &source) {
  return source.IsRetired && source.Witnesses.empty();
}

} // namespace

bool HandoverTracker::PendingSlice::isComplete() const {
  return std::all_of(Sources.begin(), Sources.end(),
                     [](const Source &it) { return it.IsComplete; });
}

void HandoverTracker::gained(const core::SliceId &slice, core::Epoch epoch,
                             std::vector<HandoverSource> sources,
                             core::TimePoint now) {
  PendingSlice pending;
  pending.Epoch = epoch;
  for (HandoverSource &it : sources) {
    Source source;
    source.Former = std::move(it);
    source.IsComplete =
        isUnrecoverable(source.Former) || source.Former.Owner == Self;
    if (source.Former.IsRetired)
      source.NextAskAt = now;
    pending.Sources.push_back(std::move(source));
  }
  if (pending.isComplete())
    PendingSlices.erase(slice);
  else
    PendingSlices.insert_or_assign(slice, std::move(pending));
}

void HandoverTracker::lost(const core::SliceId &slice) {
  PendingSlices.erase(slice);
}

std::vector<core::SliceId>
HandoverTracker::onOwnerRetired(core::InstanceId owner, core::TimePoint now) {
  std::vector<core::SliceId> completed;
  for (auto &[slice, pending] : PendingSlices) {
    for (Source &it : pending.Sources)
      if (it.Former.Owner == owner && !it.IsComplete) {
        it.Former.IsRetired = true;
        it.IsComplete = isUnrecoverable(it.Former);
        it.NextAskAt = std::min(it.NextAskAt, now);
      }
    if (pending.isComplete())
      completed.push_back(slice);
  }
  for (const core::SliceId &it : completed)
    PendingSlices.erase(it);
  return completed;
}

void HandoverTracker::onRemainingOwners(
    const core::SliceId &slice, std::span<const core::InstanceId> remaining,
    core::TimePoint now) {
  const auto pending = PendingSlices.find(slice);
  if (pending == PendingSlices.end())
    return;
  for (Source &it : pending->second.Sources) {
    const bool remains = std::find(remaining.begin(), remaining.end(),
                                   it.Former.Owner) != remaining.end();
    if (!remains && !it.IsComplete)
      it.NextAskAt =
          std::min<core::TimePoint>(it.NextAskAt, now + DirectHandoverTimeout);
  }
}

bool HandoverTracker::recordHandover(Source &source, core::InstanceId from) {
  if (from == source.Former.Owner) {
    source.IsComplete = true;
    return true;
  }
  const auto &list = source.Former.Witnesses;
  if (std::find(list.begin(), list.end(), from) == list.end())
    return false;
  source.Answered.insert(from);
  source.IsComplete = source.Answered.size() >= blockingSetSize(list.size());
  return source.IsComplete;
}

bool HandoverTracker::onHandover(const IdempotencyHandover &handover) {
  const auto pending = PendingSlices.find(handover.Slice);
  if (pending == PendingSlices.end() || handover.Epoch != pending->second.Epoch)
    return false;
  for (Source &it : pending->second.Sources)
    if (!it.IsComplete)
      recordHandover(it, handover.From);
  const bool isComplete = pending->second.isComplete();
  if (isComplete)
    PendingSlices.erase(pending);
  return isComplete;
}

bool HandoverTracker::isComplete(const core::SliceId &slice) const {
  return !PendingSlices.contains(slice);
}

std::vector<DueHandoverAsk> HandoverTracker::takeDueAsks(core::TimePoint now) {
  std::vector<DueHandoverAsk> out;
  for (auto &[slice, pending] : PendingSlices)
    for (Source &source : pending.Sources) {
      if (source.IsComplete || now < source.NextAskAt)
        continue;
      source.NextAskAt = now + AskRetryInterval;
      for (const core::InstanceId it : source.Former.Witnesses)
        if (!source.Answered.contains(it))
          out.push_back({it, {Self, slice, pending.Epoch}});
    }
  return out;
}

std::optional<core::TimePoint> HandoverTracker::nextDeadline() const {
  std::optional<core::TimePoint> next;
  for (const auto &[slice, pending] : PendingSlices)
    for (const Source &it : pending.Sources)
      if (!it.IsComplete && it.NextAskAt != core::TimePoint::max())
        next = std::min(next.value_or(it.NextAskAt), it.NextAskAt);
  return next;
}

} // namespace acaciaroad::requests
