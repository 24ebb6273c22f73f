#include "Administration/LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace acaciaroad::administration {

namespace {

/// Upper bound of the first bucket, in nanoseconds.
constexpr double FirstBoundNs = 64'000;

} // namespace

std::uint32_t LatencyHistogram::bucketOf(core::Duration latency) {
  const auto ns = static_cast<double>(latency.count());
  if (ns <= FirstBoundNs)
    return 0;
  const double octaves = std::log2(ns / FirstBoundNs);
  const double bucket = std::ceil(octaves * BucketsPerOctave - 1e-9);
  return static_cast<std::uint32_t>(
      std::min(bucket, static_cast<double>(BucketCountMax - 1)));
}

core::Duration LatencyHistogram::upperBound(std::uint32_t bucket) {
  const double octaves = static_cast<double>(bucket) / BucketsPerOctave;
  return core::Duration(std::llround(FirstBoundNs * std::exp2(octaves)));
}

void LatencyHistogram::add(core::Duration latency) {
  ++Counts[bucketOf(latency)];
  ++Total;
}

void LatencyHistogram::merge(std::span<const BucketCount> counts) {
  for (const BucketCount &it : counts) {
    if (it.Bucket >= Counts.size())
      continue;
    Counts[it.Bucket] += it.Count;
    Total += it.Count;
  }
}

std::vector<BucketCount> LatencyHistogram::counts() const {
  std::vector<BucketCount> out;
  for (std::uint32_t n = 0; n < Counts.size(); ++n)
    if (Counts[n] != 0)
      out.push_back({n, Counts[n]});
  return out;
}

core::Duration LatencyHistogram::quantile(double quantile) const {
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(quantile * static_cast<double>(Total)));
  std::uint64_t seen = 0;
  for (std::uint32_t n = 0; n < Counts.size(); ++n) {
    seen += Counts[n];
    if (seen >= rank && seen > 0)
      return upperBound(n);
  }
  return core::Duration(0);
}

} // namespace acaciaroad::administration
