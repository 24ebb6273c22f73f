/// \file
/// Exponential back-off with jitter.

#ifndef ACACIAROAD_PLATFORM_BACKOFF_H
#define ACACIAROAD_PLATFORM_BACKOFF_H

#include <cstdint>
#include <random>

#include "Core/Clock.h"

namespace acaciaroad::platform {

/// Gives the pauses between attempts. The upper bound doubles at each failure;
/// a pause is drawn from its upper half, so that many clients spread out.
class Backoff {
public:
  Backoff(core::Duration shortest, core::Duration longest, std::uint64_t seed);

  /// Returns the pause after one more failure.
  core::Duration next();

  /// Forgets past failures.
  void reset() { Bound = Shortest; }

private:
  core::Duration Shortest;
  core::Duration Longest;
  core::Duration Bound;
  std::mt19937_64 Random;
};

} // namespace acaciaroad::platform

#endif
