#include "Requests/LatencyQuantiles.h"

#include <algorithm>
#include <bit>

namespace acaciaroad::requests {

namespace {

constexpr std::uint32_t MaxTotal = 4096;
constexpr std::uint64_t FirstBucketNanoseconds = 1024;
/// Two bits below the leading one select the bucket within a power of two.
constexpr unsigned MantissaBits = 2;
constexpr std::uint64_t MantissaMask = 3;

} // namespace

std::size_t LatencyQuantiles::bucketOf(core::Duration latency) {
  const auto ns = static_cast<std::uint64_t>(std::max<std::int64_t>(
      static_cast<std::int64_t>(FirstBucketNanoseconds), latency.count()));
  const auto octave = static_cast<unsigned>(std::bit_width(ns) - 1);
  const std::uint64_t within = (ns >> (octave - MantissaBits)) & MantissaMask;
  const auto first =
      static_cast<unsigned>(std::bit_width(FirstBucketNanoseconds) - 1);
  const std::size_t n = (octave - first) * BucketsPerOctave + within;
  return std::min(n, Buckets - 1);
}

core::Duration LatencyQuantiles::upperBound(std::size_t bucket) {
  const std::uint64_t base = FirstBucketNanoseconds
                             << (bucket / BucketsPerOctave);
  const std::uint64_t steps = bucket % BucketsPerOctave + 1;
  return core::Duration(
      static_cast<std::int64_t>(base + base / BucketsPerOctave * steps));
}

void LatencyQuantiles::observe(core::Duration latency) {
  ++Counts[bucketOf(latency)];
  if (++Total >= MaxTotal)
    halveCounts();
}

void LatencyQuantiles::halveCounts() {
  Total = 0;
  for (std::uint32_t &count : Counts) {
    count /= 2;
    Total += count;
  }
}

core::Duration LatencyQuantiles::quantile(double q) const {
  if (Total == 0)
    return core::Duration::zero();
  const double wanted = q * Total;
  double seen = 0;
  for (std::size_t n = 0; n < Buckets; ++n) {
    seen += Counts[n];
    if (seen >= wanted && Counts[n] > 0)
      return upperBound(n);
  }
  return upperBound(Buckets - 1);
}

std::uint32_t LatencyQuantiles::samples() const { return Total; }

} // namespace acaciaroad::requests
