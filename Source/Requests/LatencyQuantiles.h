/// \file
/// Latency histogram of fixed size that favours recent samples.

#ifndef ACACIAROAD_REQUESTS_LATENCYQUANTILES_H
#define ACACIAROAD_REQUESTS_LATENCYQUANTILES_H

#include <array>
#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::requests {

/// Histogram with four buckets per power of two, starting at 1 us. The counts
/// are halved when their total reaches a limit, so older samples lose weight;
/// the quantiles of Boost.Accumulators weigh all samples alike.
class LatencyQuantiles {
public:
  void observe(core::Duration latency);

  /// Returns the upper bound of the bucket that contains quantile \p q, a
  /// number from 0 to 1. Returns zero if there are no samples.
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
