/// \file
/// Rate limit for the requests sent to a cold upstream.

#ifndef ACACIAROAD_UPSTREAM_SLIDINGWINDOWLIMITER_H
#define ACACIAROAD_UPSTREAM_SLIDINGWINDOWLIMITER_H

#include <cstdint>
#include <deque>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// Limits the number of requests sent in any window of one second. Requests are
/// also counted while there is no limit, so that a new limit takes effect
/// immediately.
class SlidingWindowLimiter {
public:
  /// Sets the maximum number of requests per second; 0 means no limit.
  void setLimit(std::uint32_t perSecond) { Limit = perSecond; }

  /// Returns whether another request may be sent now.
  bool isAllowed(core::TimePoint now);

  /// Counts a request that was sent.
  void started(core::TimePoint now);

  /// Returns the earliest time at which the next request may be sent; \p now if
  /// one may be sent now.
  core::TimePoint nextAllowed(core::TimePoint now);

private:
  /// Removes the requests that have left the window.
  void forget(core::TimePoint now);

  std::uint32_t Limit = 0;
  std::deque<core::TimePoint> Starts;
};

} // namespace acaciaroad::upstream

#endif
