/// \file
/// Exponential back-off with jitter.

#ifndef ACACIAROAD_CORE_BACKOFF_H
#define ACACIAROAD_CORE_BACKOFF_H

#include <cstdint>
#include <random>

#include "Core/Clock.h"

namespace acaciaroad::core {

/// Gives the pauses between attempts. The upper bound doubles at each failure;
/// a pause is drawn from its upper half, so that many clients spread out.
class Backoff {
public:
  Backoff(Duration shortest, Duration longest, std::uint64_t seed);

  /// Returns the pause after one more failure.
  Duration next();

  /// Forgets past failures.
  void reset() { Bound = Shortest; }

private:
  Duration Shortest;
  Duration Longest;
  Duration Bound;
  std::mt19937_64 Random;
};

} // namespace acaciaroad::core

#endif
