#include "Membership/FailureDetector.h"

#include <algorithm>

namespace acaciaroad::membership {

void FailureDetector::watch(core::InstanceId holder, Watch watch,
                            core::TimePoint now) {
  const auto [it, isNew] = Holders.try_emplace(holder);
  it->second.Role = watch;
  if (isNew)
    restart(it->second, now);
}

void FailureDetector::unwatch(core::InstanceId holder) {
  Holders.erase(holder);
}

void FailureDetector::onSignOfLife(core::InstanceId holder,
                                   core::TimePoint when) {
  const auto it = Holders.find(holder);
  if (it != Holders.end() && when > it->second.LastSign)
    restart(it->second, when);
}

void FailureDetector::onSilenceReport(core::InstanceId holder,
                                      core::InstanceId witness,
                                      core::Duration silence,
                                      core::TimePoint now) {
  const auto it = Holders.find(holder);
  if (it == Holders.end())
    return;
  if (silence < Options.AgreementLimit)
    onSignOfLife(holder, now - silence);
  else
    it->second.Agreeing.insert(witness);
}

std::optional<core::Duration>
FailureDetector::silenceOf(core::InstanceId holder, core::TimePoint now) const {
  const auto it = Holders.find(holder);
  if (it == Holders.end())
    return std::nullopt;
  return now - it->second.LastSign;
}

std::vector<Action> FailureDetector::onTick(core::TimePoint now) {
  // After a pause of this process the silence is its own.
  const bool wasPaused = LastTick && now - *LastTick > Options.SilenceLimit;
  LastTick = now;
  std::vector<Action> out;
  for (auto &[id, holder] : Holders) {
    if (wasPaused)
      restart(holder, now);
    if (now < holder.NextStep)
      continue;
    if (const auto what = step(holder, now))
      out.push_back({*what, id});
  }
  return out;
}

std::optional<core::TimePoint> FailureDetector::nextDeadline() const {
  std::optional<core::TimePoint> out;
  for (const auto &[id, holder] : Holders)
    out = out ? std::min(*out, holder.NextStep) : holder.NextStep;
  return out;
}

void FailureDetector::restart(Holder &holder, core::TimePoint lastSign) const {
  holder.LastSign = lastSign;
  holder.NextStep = lastSign + Options.SilenceLimit;
  holder.ProbeInterval = Options.ReplyTimeout;
  holder.IsProbed = false;
  holder.Agreeing.clear();
}

std::optional<Step> FailureDetector::step(Holder &holder,
                                          core::TimePoint now) const {
  const bool isAgreed = holder.Agreeing.size() + 1 >= holder.Role.Quorum;
  if (!holder.IsProbed || !isAgreed) {
    holder.IsProbed = true;
    holder.NextStep = now + holder.ProbeInterval;
    holder.ProbeInterval =
        std::min(2 * holder.ProbeInterval, Options.RepeatInterval);
    return Step::Probe;
  }
  const core::TimePoint turn = holder.LastSign + Options.SilenceLimit +
                               Options.ReplyTimeout +
                               holder.Role.Rank * Options.Stagger;
  if (now < turn) {
    holder.NextStep = turn;
    return std::nullopt;
  }
  holder.NextStep = now + Options.RepeatInterval;
  return Step::ProposeLost;
}

} // namespace acaciaroad::membership
