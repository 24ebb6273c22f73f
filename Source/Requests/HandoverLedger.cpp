#include "Requests/HandoverLedger.h"

#include <algorithm>
#include <utility>

namespace acaciaroad::requests {

namespace {

/// Returns how many of \p count witnesses every majority must meet.
std::size_t blockingOf(std::size_t count) { return count - count / 2; }

/// Whether nobody can tell the ids: a lost owner without witnesses.
bool isMute(const HandoverSource &source) {
  return source.IsLost && source.Witnesses.empty();
}

} // namespace

bool HandoverLedger::Gain::isComplete() const {
  return std::all_of(Sources.begin(), Sources.end(),
                     [](const Source &it) { return it.IsComplete; });
}

void HandoverLedger::gained(const core::SliceId &slice, core::Epoch epoch,
                            std::vector<HandoverSource> sources,
                            core::TimePoint now) {
  Gain gain;
  gain.Epoch = epoch;
  for (HandoverSource &it : sources) {
    Source source;
    source.From = std::move(it);
    source.IsComplete = isMute(source.From) || source.From.Owner == Self;
    if (source.From.IsLost)
      source.AskAt = now;
    gain.Sources.push_back(std::move(source));
  }
  if (gain.isComplete())
    Gains.erase(slice);
  else
    Gains.insert_or_assign(slice, std::move(gain));
}

void HandoverLedger::lost(const core::SliceId &slice) { Gains.erase(slice); }

std::vector<core::SliceId> HandoverLedger::onSourceLost(core::InstanceId owner,
                                                        core::TimePoint now) {
  std::vector<core::SliceId> completed;
  for (auto &[slice, gain] : Gains) {
    for (Source &it : gain.Sources)
      if (it.From.Owner == owner && !it.IsComplete) {
        it.From.IsLost = true;
        it.IsComplete = isMute(it.From);
        it.AskAt = std::min(it.AskAt, now);
      }
    if (gain.isComplete())
      completed.push_back(slice);
  }
  for (const core::SliceId &it : completed)
    Gains.erase(it);
  return completed;
}

void HandoverLedger::onRemaining(const core::SliceId &slice,
                                 std::span<const core::InstanceId> remaining,
                                 core::TimePoint now) {
  const auto gain = Gains.find(slice);
  if (gain == Gains.end())
    return;
  for (Source &it : gain->second.Sources) {
    const bool remains = std::find(remaining.begin(), remaining.end(),
                                   it.From.Owner) != remaining.end();
    if (!remains && !it.IsComplete)
      it.AskAt = std::min<core::TimePoint>(it.AskAt, now + DirectPatience);
  }
}

bool HandoverLedger::note(Source &source, core::InstanceId from) {
  if (from == source.From.Owner) {
    source.IsComplete = true;
    return true;
  }
  const auto &list = source.From.Witnesses;
  if (std::find(list.begin(), list.end(), from) == list.end())
    return false;
  source.Told.insert(from);
  source.IsComplete = source.Told.size() >= blockingOf(list.size());
  return source.IsComplete;
}

bool HandoverLedger::delivered(const IdempotencyHandover &handover) {
  const auto gain = Gains.find(handover.Slice);
  if (gain == Gains.end() || handover.Epoch != gain->second.Epoch)
    return false;
  for (Source &it : gain->second.Sources)
    if (!it.IsComplete)
      note(it, handover.From);
  const bool isComplete = gain->second.isComplete();
  if (isComplete)
    Gains.erase(gain);
  return isComplete;
}

bool HandoverLedger::isComplete(const core::SliceId &slice) const {
  return !Gains.contains(slice);
}

std::vector<DueHandoverAsk> HandoverLedger::due(core::TimePoint now) {
  std::vector<DueHandoverAsk> out;
  for (auto &[slice, gain] : Gains)
    for (Source &source : gain.Sources) {
      if (source.IsComplete || now < source.AskAt)
        continue;
      source.AskAt = now + AskInterval;
      for (const core::InstanceId it : source.From.Witnesses)
        if (!source.Told.contains(it))
          out.push_back({it, {Self, slice, gain.Epoch}});
    }
  return out;
}

std::optional<core::TimePoint> HandoverLedger::nextDeadline() const {
  std::optional<core::TimePoint> next;
  for (const auto &[slice, gain] : Gains)
    for (const Source &it : gain.Sources)
      if (!it.IsComplete && it.AskAt != core::TimePoint::max())
        next = std::min(next.value_or(it.AskAt), it.AskAt);
  return next;
}

} // namespace acaciaroad::requests
