/// \file
/// Whether a version's answers are worse than those of another one.

#ifndef ACACIAROAD_ROLLOUTS_VERSIONCOMPARISON_H
#define ACACIAROAD_ROLLOUTS_VERSIONCOMPARISON_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Rollouts/RolloutTypes.h"

namespace acaciaroad::rollouts {

enum class Defect : std::uint8_t { Failures, Latency };

/// Returns the name of \p defect for logs.
std::string_view toString(Defect defect);

/// Why a version is worse.
struct Finding {
  Defect What = Defect::Failures;
  /// Route that shows it; empty if all together do.
  std::string Route;
  /// Bad answers and all answers of the new version.
  std::uint64_t Bad = 0;
  std::uint64_t Answers = 0;
  /// Share of bad answers of the former version.
  double FormerShare = 0;
  /// Probability of at least as many bad answers if the versions were alike.
  double Probability = 1;
};

/// Compares answers that both versions gave over the same time under like load.
/// Returns a finding if the new version fails more often, or is several times
/// slower for a part of its answers. Load pattern: ordinary failures and slow
/// minutes that both versions share, which decide nothing.
std::optional<Finding> compare(const AnswerCounts &former,
                               const AnswerCounts &next);

/// Compares each route by itself, and all routes together: a version may be bad
/// on one route only, or too rarely on each.
std::optional<Finding> compareRoutes(std::span<const RouteCounts> routes);

} // namespace acaciaroad::rollouts

#endif
