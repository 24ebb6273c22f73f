/// \file
/// Bound on the requests that a cold upstream gets in any second.

#ifndef ACACIAROAD_UPSTREAM_SLIDINGWINDOWLIMITER_H
#define ACACIAROAD_UPSTREAM_SLIDINGWINDOWLIMITER_H

#include <cstdint>
#include <deque>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// Counts what was sent in the second before a moment. All that is sent counts,
/// bounded or not, so that a bound that starts holds at once.
class SlidingWindowLimiter {
public:
  /// Sets the requests that may be sent in any second; 0 means no bound.
  void setLimit(std::uint32_t perSecond) { Limit = perSecond; }

  /// Returns whether one more may be sent now.
  bool isAllowed(core::TimePoint now);

  /// One was sent.
  void started(core::TimePoint now);

  /// Returns when the next may be sent; \p now if one may be sent now.
  core::TimePoint nextAllowed(core::TimePoint now);

private:
  void forget(core::TimePoint now);

  std::uint32_t Limit = 0;
  std::deque<core::TimePoint> Starts;
};

} // namespace acaciaroad::upstream

#endif
