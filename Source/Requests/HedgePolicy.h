/// \file
/// When a second attempt is sent before the first has ended.

#ifndef ACACIAROAD_REQUESTS_HEDGEPOLICY_H
#define ACACIAROAD_REQUESTS_HEDGEPOLICY_H

#include <cstdint>
#include <optional>

#include "Core/Clock.h"
#include "Requests/LatencyQuantiles.h"
#include "Requests/RequestPolicy.h"

namespace acaciaroad::requests {

/// Chooses the delay of the hedges of one class: late enough that only slow
/// requests are hedged, and early enough that the hedge can still meet the
/// latency target. The caller takes each hedge from the class's RetryBudget
/// when the delay has passed.
class HedgePolicy {
public:
  explicit HedgePolicy(const RequestPolicy &policy);

  /// Adds the latency of an attempt, or the age at which a slow one was given
  /// up.
  void observe(core::Duration latency);

  /// Returns the time from the first attempt to its hedge; nothing if the class
  /// may not be hedged, or if a hedge would not help.
  std::optional<core::Duration> delay() const;

private:
  void update();

  bool IsIdempotent;
  core::Duration LatencyTarget;
  LatencyQuantiles Latencies;
  std::uint32_t SamplesSinceUpdate = 0;
  std::optional<core::Duration> Delay;
};

} // namespace acaciaroad::requests

#endif
