#include "Membership/FailureDetector.h"

#include <algorithm>

namespace acaciaroad::membership {

void FailureDetector::watch(core::InstanceId holder, WitnessRole role,
                            core::TimePoint now) {
  const auto [it, isNew] = Holders.try_emplace(holder);
  it->second.Role = role;
  if (isNew)
    restart(it->second, now);
}

void FailureDetector::unwatch(core::InstanceId holder) {
  Holders.erase(holder);
}

void FailureDetector::markAlive(core::InstanceId holder, core::TimePoint when) {
  const auto it = Holders.find(holder);
  if (it != Holders.end() && when > it->second.LastSeen)
    restart(it->second, when);
}

void FailureDetector::onSilenceReport(core::InstanceId holder,
                                      core::InstanceId witness,
                                      core::Duration silence,
                                      core::TimePoint now) {
  const auto it = Holders.find(holder);
  if (it == Holders.end())
    return;
  if (silence < Options.AgreementTimeout)
    markAlive(holder, now - silence);
  else
    it->second.AgreeingWitnesses.insert(witness);
}

std::optional<core::Duration>
FailureDetector::silenceOf(core::InstanceId holder, core::TimePoint now) const {
  const auto it = Holders.find(holder);
  if (it == Holders.end())
    return std::nullopt;
  return now - it->second.LastSeen;
}

std::vector<Action> FailureDetector::onTick(core::TimePoint now) {
  // After a pause of this process, the silence of the others may be its own
  // fault, so all timers restart.
  const bool wasPaused = LastTick && now - *LastTick > Options.SuspicionTimeout;
  LastTick = now;
  std::vector<Action> out;
  for (auto &[id, holder] : Holders) {
    if (wasPaused)
      restart(holder, now);
    if (now < holder.NextActionAt)
      continue;
    if (const auto kind = nextAction(holder, now))
      out.push_back({*kind, id});
  }
  return out;
}

std::optional<core::TimePoint> FailureDetector::nextDeadline() const {
  std::optional<core::TimePoint> out;
  for (const auto &[id, holder] : Holders)
    out = out ? std::min(*out, holder.NextActionAt) : holder.NextActionAt;
  return out;
}

void FailureDetector::restart(Holder &holder, core::TimePoint lastSeen) const {
  holder.LastSeen = lastSeen;
  holder.NextActionAt = lastSeen + Options.SuspicionTimeout;
  holder.ProbeInterval = Options.ReplyTimeout;
  holder.HasProbed = false;
  holder.AgreeingWitnesses.clear();
}

std::optional<ActionKind>
FailureDetector::nextAction(Holder &holder, core::TimePoint now) const {
  const bool hasQuorum =
      holder.AgreeingWitnesses.size() + 1 >= holder.Role.Quorum;
  if (!holder.HasProbed || !hasQuorum) {
    holder.HasProbed = true;
    holder.NextActionAt = now + holder.ProbeInterval;
    holder.ProbeInterval =
        std::min(2 * holder.ProbeInterval, Options.RepeatInterval);
    return ActionKind::Probe;
  }
  const core::TimePoint proposeAt =
      holder.LastSeen + Options.SuspicionTimeout + Options.ReplyTimeout +
      holder.Role.Rank * Options.ProposalDelayPerRank;
  if (now < proposeAt) {
    holder.NextActionAt = proposeAt;
    return std::nullopt;
  }
  holder.NextActionAt = now + Options.RepeatInterval;
  return ActionKind::ProposeLost;
}

} // namespace acaciaroad::membership
