#include "Rollouts/RolloutPlan.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace acaciaroad::rollouts {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Part of the bound that is used. The rest covers nodes that count from
/// different starts.
constexpr double ShareUsed = 0.8;

/// Part of the bound for a version that has just started.
constexpr double WarmingShare = 0.05;

/// Time over which the new version takes over all traffic.
constexpr core::Duration Ramp = milliseconds(1500);

/// Share at the start of the ramp.
constexpr double RampStart = 0.25;

/// Time until all nodes in touch have read a record of the fleet's log.
constexpr core::Duration SpreadTime = seconds(3);

/// Least time kept free before the deadline, for appends that fail at first.
constexpr core::Duration MinReserve = seconds(2);

/// Part of an order's time that is kept free before the deadline.
constexpr int ReservePart = 8;

/// Part of an order's time that warming takes at most.
constexpr int WarmingPart = 6;

/// Part of an order's time until which the versions are compared at least.
constexpr int ComparisonPart = 3;

core::Duration settlingTime(core::Duration longestRequest) {
  return SpreadTime + longestRequest;
}

std::string describe(const Finding &finding) {
  return fmt::format("{}{}{}: {} of {} answers, {:.4f} in the former versions",
                     toString(finding.What),
                     finding.Route.empty() ? "" : " on route ", finding.Route,
                     finding.Bad, finding.Answers, finding.FormerShare);
}

/// Whether \p finding counts in \p phase. Upstreams that have just started are
/// slow, whatever their version.
bool isDecisive(const Finding &finding, Phase phase) {
  return finding.What == Defect::Failures || phase == Phase::Comparing;
}

} // namespace

double shareIn(Phase phase, core::Duration age, const Bounds &bounds) {
  switch (phase) {
  case Phase::Warming:
    return bounds.Share * WarmingShare;
  case Phase::Comparing:
    return bounds.Share * ShareUsed;
  case Phase::Settling: {
    using Real = std::chrono::duration<double>;
    const double passed = Real(age) / Real(Ramp);
    return std::clamp(RampStart + (1 - RampStart) * passed, RampStart, 1.0);
  }
  case Phase::Complete:
    return 1;
  case Phase::RolledBack:
    return 0;
  }
  return 0;
}

std::size_t instancesFor(double share, std::size_t count) {
  const double exact = share * static_cast<double>(count);
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(exact)),
                                 std::min<std::size_t>(1, count), count);
}

core::Duration comparisonEnd(core::Duration length,
                             core::Duration longestRequest) {
  const core::Duration reserve = std::max(MinReserve, length / ReservePart);
  return std::max(length - settlingTime(longestRequest) - reserve,
                  length / ComparisonPart);
}

std::optional<Step> nextStep(const Rollout &rollout,
                             const Situation &situation) {
  const Phase phase = rollout.Current;
  if (isFinal(phase))
    return std::nullopt;
  if (phase == Phase::Settling) {
    if (situation.Age - rollout.PhaseBegan <
        settlingTime(situation.LongestRequest))
      return std::nullopt;
    return Step{Phase::Complete, "all traffic moved"};
  }
  if (situation.IsWithdrawn)
    return Step{Phase::RolledBack, "order withdrawn"};
  if (situation.Worse && isDecisive(*situation.Worse, phase))
    return Step{Phase::RolledBack, describe(*situation.Worse)};
  const core::Duration length = rollout.Request.Length;
  const core::Duration end = comparisonEnd(length, situation.LongestRequest);
  if (situation.Age < end) {
    const bool isWarm = situation.Age >= std::min(WarmUp, length / WarmingPart);
    if (phase == Phase::Warming && isWarm && situation.Instances > 0)
      return Step{Phase::Comparing, "new version has warmed up"};
    return std::nullopt;
  }
  if (situation.Instances == 0)
    return Step{Phase::RolledBack, "no instances of the new version"};
  if (phase == Phase::Warming || situation.Answers < MinAnswers)
    return Step{
        Phase::RolledBack,
        fmt::format("only {} answers of the new version", situation.Answers)};
  return Step{Phase::Settling,
              fmt::format("not worse in {} answers", situation.Answers)};
}

} // namespace acaciaroad::rollouts
