/// \file
/// Value types of roll-outs: orders, phases, bounds and counts of answers.

#ifndef ACACIAROAD_ROLLOUTS_ROLLOUTTYPES_H
#define ACACIAROAD_ROLLOUTS_ROLLOUTTYPES_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"

namespace acaciaroad::rollouts {

/// Longest version that can be ordered. It is stored in the records of nodes;
/// a longer one counts as unknown, which is the empty one.
inline constexpr std::size_t MaxVersionBytes = 64;

/// An operator's order to move the traffic of a service to a version.
struct Order {
  std::string Service;
  std::string Version;
  /// Time from the order to its deadline.
  core::Duration Length{};
  bool operator==(const Order &) const = default;
};

/// Phases in the order in which they follow each other. Warming and Comparing
/// may also be followed by RolledBack.
enum class Phase : std::uint8_t {
  Warming,
  Comparing,
  /// All traffic goes to the new version; requests to the former ones end.
  Settling,
  Complete,
  RolledBack,
};

inline constexpr std::uint32_t PhaseCount = 5;

/// Returns the name of \p phase for logs and metrics.
std::string_view toString(Phase phase);

/// Whether no step follows \p phase.
constexpr bool isFinal(Phase phase) {
  return phase == Phase::Complete || phase == Phase::RolledBack;
}

/// Whether \p phase may still end with a roll-back.
constexpr bool isReversible(Phase phase) { return phase < Phase::Settling; }

/// What the fleet has decided about an order; a record of its log.
struct Rollout {
  Order Request;
  Phase Current = Phase::Warming;
  /// Versions that served when the order was first seen.
  std::vector<std::string> FormerVersions;
  /// Versions of earlier orders that must get no requests: rolled back,
  /// replaced, or never taken.
  std::vector<std::string> RejectedVersions;
  /// Age of the order when the phase began.
  core::Duration PhaseBegan{};
  /// Why the phase began, for logs.
  std::string Cause;
  bool operator==(const Rollout &) const = default;
};

/// Bounds that operators set for a version that may be bad.
struct Bounds {
  /// Share of a service's requests that it may get before the verdict.
  double Share = 0;
  /// Requests that it may get beyond the share.
  double Slack = 0;
  /// It gets no request later than this after it has shown to be bad.
  core::Duration RollBack{};
  bool operator==(const Bounds &) const = default;
};

/// Number of bins of a latency histogram. Bin 0 ends at 1 ms, and each bin is
/// wider than the one before by the square root of two.
inline constexpr std::size_t LatencyBins = 32;

/// Returns the bin of \p latency.
std::size_t binOf(core::Duration latency);

/// Answers of one version on one route.
struct AnswerCounts {
  std::uint64_t Failures = 0;
  /// All answers, also failures, by latency.
  std::array<std::uint64_t, LatencyBins> Latency{};

  void add(bool isFailure, core::Duration latency);
  std::uint64_t answers() const;
  AnswerCounts &operator+=(const AnswerCounts &other);
  /// Subtracts earlier counts of the same answers.
  AnswerCounts &operator-=(const AnswerCounts &other);
  bool operator==(const AnswerCounts &) const = default;
};

/// Answers of both versions on one route.
struct RouteCounts {
  std::string Route;
  AnswerCounts Former;
  AnswerCounts Next;
  bool operator==(const RouteCounts &) const = default;
};

/// Counts of one node since it first read an order.
struct CountReport {
  std::string Node;
  /// Random number, drawn at each start of the node.
  std::uint64_t Incarnation = 0;
  std::string Service;
  std::string Version;
  /// Age of the order, as far as the node knows.
  core::Duration Age{};
  std::vector<RouteCounts> Routes;
  bool operator==(const CountReport &) const = default;
};

} // namespace acaciaroad::rollouts

#endif
