/// \file
/// The course of a roll-out: its share of the traffic, and when a phase ends.

#ifndef ACACIAROAD_ROLLOUTS_ROLLOUTPLAN_H
#define ACACIAROAD_ROLLOUTS_ROLLOUTPLAN_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "Core/Clock.h"
#include "Rollouts/RolloutTypes.h"
#include "Rollouts/VersionComparison.h"

namespace acaciaroad::rollouts {

/// Time for which a started upstream is slower than later.
inline constexpr core::Duration WarmUp = std::chrono::seconds(5);

/// Answers of the new version without which it is not taken.
inline constexpr std::uint64_t MinAnswers = 30;

/// Returns the share of a service's requests that the new version may get,
/// \p age after \p phase began. Load pattern: full load from the first request
/// on, of which a bad version must get no more than the bound; and instances
/// that take over all of it within seconds.
double shareIn(Phase phase, core::Duration age, const Bounds &bounds);

/// Returns how many of \p count instances serve \p share of the traffic at the
/// load they have when they serve all of it. Load pattern: a version that is
/// bad under load only.
std::size_t instancesFor(double share, std::size_t count);

/// Returns the age of an order at which its comparison ends.
/// \p longestRequest bounds the time that open requests take.
core::Duration comparisonEnd(core::Duration length,
                             core::Duration longestRequest);

/// What the next step depends on.
struct Situation {
  /// Of the order.
  core::Duration Age{};
  core::Duration LongestRequest{};
  /// Instances of the new version that are open and have warmed up.
  std::size_t Instances = 0;
  bool IsWithdrawn = false;
  std::optional<Finding> Worse;
  /// Answers of the new version in this phase.
  std::uint64_t Answers = 0;
};

/// The next phase and why it begins.
struct Step {
  Phase To = Phase::Warming;
  std::string Cause;
};

/// Returns the step that is due, if any.
std::optional<Step> nextStep(const Rollout &rollout,
                             const Situation &situation);

} // namespace acaciaroad::rollouts

#endif
