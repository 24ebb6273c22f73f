/// \file
/// Checks a sequence of admitted requests against a rate and a burst.

#ifndef ACACIAROAD_TESTS_ACCOUNTS_RATECHECKER_H
#define ACACIAROAD_TESTS_ACCOUNTS_RATECHECKER_H

#include <algorithm>
#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::tests {

/// Reference token bucket that starts full. All requests conform if and only if
/// every window of length w has at most burst + rate * w of them. Uses integer
/// arithmetic, so the check is exact.
class RateChecker {
public:
  RateChecker(std::int64_t perSecond, std::int64_t burst)
      : PerSecond(perSecond), Full(burst * Unit), Level(burst * Unit) {}

  /// Counts one request and returns whether it conforms.
  bool take(core::TimePoint now) {
    refill(now);
    Level -= Unit;
    return Level >= 0;
  }

  /// Counts a request of \p cost tokens only if it conforms; returns whether it
  /// does.
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
    // Limited to 100 s against overflow; longer pauses fill the bucket anyway.
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
