/// \file
/// Recent and undisturbed service time of one class of work.

#ifndef ACACIAROAD_UPSTREAM_LATENCYBASELINE_H
#define ACACIAROAD_UPSTREAM_LATENCYBASELINE_H

#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// Tracks the mean service time of a class and a slow-moving minimum of it. The
/// minimum is taken over means of blocks, since single fast answers (an early
/// rejection) say nothing about the upstream. It falls within a few blocks and
/// rises by a bounded share a second, so a lasting overload is not taken for
/// the normal state.
class LatencyBaseline {
public:
  /// Adds the service time of an order that was answered.
  void observe(core::Duration latency, core::TimePoint now);

  /// Returns the exponentially weighted mean; zero before the first sample.
  core::Duration mean() const;

  /// Returns the slow-moving minimum; zero before the first whole block.
  core::Duration minimum() const;

  /// Returns \p latency over the minimum; 1 before the first whole block.
  double ratio(core::Duration latency) const;

private:
  void closeBlock(core::TimePoint now);

  double Mean = 0;
  double Minimum = 0;
  double BlockSum = 0;
  std::uint32_t BlockCount = 0;
  core::TimePoint LastBlock{};
};

} // namespace acaciaroad::upstream

#endif
