/// \file
/// Seeded random numbers for tests.

#ifndef ACACIAROAD_TESTS_SUPPORT_RANDOM_H
#define ACACIAROAD_TESTS_SUPPORT_RANDOM_H

#include <cmath>
#include <cstdint>
#include <random>

#include "Core/Clock.h"

namespace acaciaroad::tests {

/// The same sequence for the same seed on every run.
class Random {
public:
  explicit Random(std::uint64_t seed) : Engine(seed) {}

  std::uint64_t next() { return Engine(); }

  /// Returns a number in [0, bound).
  std::uint64_t below(std::uint64_t bound) { return Engine() % bound; }

  /// Returns a number in [0, 1).
  double unit() { return static_cast<double>(Engine() >> 11U) * 0x1p-53; }

  bool chance(double probability) { return unit() < probability; }

  /// Returns an exponentially distributed length of the given mean.
  core::Duration exponential(core::Duration mean) {
    const double factor = -std::log(1 - unit());
    return core::Duration(
        static_cast<std::int64_t>(factor * static_cast<double>(mean.count())));
  }

private:
  std::mt19937_64 Engine;
};

} // namespace acaciaroad::tests

#endif
