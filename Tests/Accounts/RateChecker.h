/// \file
/// Checks a stream of taken requests against rate and burst.

#ifndef ACACIAROAD_TESTS_ACCOUNTS_RATECHECKER_H
#define ACACIAROAD_TESTS_ACCOUNTS_RATECHECKER_H

#include <algorithm>
#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::tests {

/// Holds if and only if in every window of length w at most burst + rate * w
/// requests were taken: a bucket that starts full never runs short. Integers
/// only, so nothing is tolerated.
class RateChecker {
public:
  RateChecker(std::int64_t perSecond, std::int64_t burst)
      : PerSecond(perSecond), Full(burst * Unit), Level(burst * Unit) {}

  /// Adds one request; returns whether it conforms.
  bool take(core::TimePoint now) {
    refill(now);
    Level -= Unit;
    return Level >= 0;
  }

  /// Returns whether a request of \p cost units would conform, and takes it if
  /// so.
  bool takeIfWithinRate(core::TimePoint now, std::int64_t cost = 1) {
    refill(now);
    if (Level < cost * Unit)
      return false;
    Level -= cost * Unit;
    return true;
  }

private:
  static constexpr std::int64_t Unit = 1'000'000'000;

  void refill(core::TimePoint now) {
    const std::int64_t elapsed = (now - Last).count();
    // Longer pauses fill any bucket; the bound avoids an overflow.
    const std::int64_t bounded = std::min<std::int64_t>(elapsed, 100 * Unit);
    Level = std::min(Full, Level + PerSecond * bounded);
    Last = now;
  }

  std::int64_t PerSecond;
  std::int64_t Full;
  std::int64_t Level;
  core::TimePoint Last{};
};

} // namespace acaciaroad::tests

#endif
