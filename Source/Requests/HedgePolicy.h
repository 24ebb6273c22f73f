/// \file
/// Delay after which a hedged request is sent.

#ifndef ACACIAROAD_REQUESTS_HEDGEPOLICY_H
#define ACACIAROAD_REQUESTS_HEDGEPOLICY_H

#include <cstdint>
#include <optional>

#include "Core/Clock.h"
#include "Requests/LatencyQuantiles.h"
#include "Requests/RequestPolicy.h"

namespace acaciaroad::requests {

/// Computes the delay of the hedged requests of one work class: late enough
/// that only slow requests are hedged, and early enough that the hedge can
/// still meet the latency target. The caller takes each hedge from the class's
/// RetryBudget when the delay has passed.
class HedgePolicy {
public:
  explicit HedgePolicy(const RequestPolicy &policy);

  /// Adds the latency of an attempt, or its age when it was abandoned.
  void observe(core::Duration latency);

  /// Returns the time from the first attempt to its hedge; nothing if the class
  /// is not idempotent, if there are too few samples, or if a hedge could not
  /// meet the latency target.
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
