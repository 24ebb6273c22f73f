/// \file
/// A histogram of latencies with logarithmic buckets that merge exactly.

#ifndef ACACIAROAD_ADMINISTRATION_LATENCYHISTOGRAM_H
#define ACACIAROAD_ADMINISTRATION_LATENCYHISTOGRAM_H

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "Administration/TotalsRecord.h"
#include "Core/Clock.h"

namespace acaciaroad::administration {

/// Eight buckets an octave from 64 us on, so that a quantile is at most 9% too
/// high; the last bucket holds everything from about 67 s on.
class LatencyHistogram {
public:
  static constexpr std::uint32_t BucketsPerOctave = 8;
  static constexpr std::uint32_t BucketCountMax = 20 * BucketsPerOctave + 1;

  /// Returns the bucket of a latency.
  static std::uint32_t bucketOf(core::Duration latency);

  /// Returns the upper bound of a bucket.
  static core::Duration upperBound(std::uint32_t bucket);

  void add(core::Duration latency);

  /// Adds counts; buckets out of range are ignored.
  void merge(std::span<const BucketCount> counts);

  /// Returns the buckets that hold anything.
  std::vector<BucketCount> counts() const;

  std::uint64_t total() const { return Total; }

  /// Returns the upper bound of the bucket that holds the \p quantile in (0, 1]
  /// of all latencies; 0 without any.
  core::Duration quantile(double quantile) const;

private:
  std::array<std::uint64_t, BucketCountMax> Counts{};
  std::uint64_t Total = 0;
};

} // namespace acaciaroad::administration

#endif
