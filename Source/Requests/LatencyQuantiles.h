/// \file
/// Quantiles of recent latencies in fixed memory.

#ifndef ACACIAROAD_REQUESTS_LATENCYQUANTILES_H
#define ACACIAROAD_REQUESTS_LATENCYQUANTILES_H

#include <array>
#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::requests {

/// A histogram with four buckets for each power of two from 1 us on. Counts are
/// halved from time to time, so older latencies fade out. Boost.Accumulators'
/// quantiles never forget, hence this class.
class LatencyQuantiles {
public:
  void observe(core::Duration latency);

  /// Returns the upper bound of the bucket that holds quantile \p q, which is
  /// between 0 and 1; zero without samples.
  core::Duration quantile(double q) const;

  std::uint32_t samples() const;

private:
  static constexpr std::size_t BucketsPerOctave = 4;
  static constexpr std::size_t Octaves = 28;
  static constexpr std::size_t Buckets = BucketsPerOctave * Octaves;

  static std::size_t bucketOf(core::Duration latency);
  static core::Duration upperBound(std::size_t bucket);
  void halveCounts();

  std::array<std::uint32_t, Buckets> Counts{};
  std::uint32_t Total = 0;
};

} // namespace acaciaroad::requests

#endif
