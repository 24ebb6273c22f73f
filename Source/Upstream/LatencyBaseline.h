/// \file
/// Recent and unloaded service time of one work class.

#ifndef ACACIAROAD_UPSTREAM_LATENCYBASELINE_H
#define ACACIAROAD_UPSTREAM_LATENCYBASELINE_H

#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// Tracks the exponential moving average of a work class's service time and a
/// slow-moving minimum. The minimum is taken over means of blocks of samples,
/// because single fast answers (such as an early rejection) don't represent the
/// upstream's speed. It falls within a few blocks but rises by at most a fixed
/// share per second, so that a lasting overload isn't taken for the normal
/// state.
class LatencyBaseline {
public:
  /// Adds the service time of an answered order.
  void observe(core::Duration latency, core::TimePoint now);

  /// Returns the exponential moving average; zero before the first sample.
  core::Duration mean() const;

  /// Returns the slow-moving minimum; zero before the first complete block.
  core::Duration minimum() const;

  /// Returns \p latency divided by the minimum; 1 before the first complete
  /// block.
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
