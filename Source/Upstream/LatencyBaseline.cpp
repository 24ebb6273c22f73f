#include "Upstream/LatencyBaseline.h"

#include <algorithm>

namespace acaciaroad::upstream {

namespace {

constexpr std::uint32_t BlockSamples = 64;
constexpr core::Duration BlockLength = std::chrono::milliseconds(100);
constexpr double MeanWeight = 1.0 / 32;
/// Fraction of the difference by which a faster block lowers the minimum.
constexpr double FallWeight = 0.25;
/// Maximum rise of the minimum per second, as a fraction of its value.
constexpr double MaxRisePerSecond = 0.02;

double nanoseconds(core::Duration d) { return static_cast<double>(d.count()); }

core::Duration duration(double ns) {
  return core::Duration(static_cast<core::Duration::rep>(ns));
}

} // namespace

void LatencyBaseline::observe(core::Duration latency, core::TimePoint now) {
  const double ns = std::max(1.0, nanoseconds(latency));
  if (Mean == 0) {
    Mean = ns;
  }
  Mean += (ns - Mean) * MeanWeight;
  BlockSum += ns;
  if (BlockCount++ == 0 && Minimum == 0)
    LastBlock = now;
  if (BlockCount >= BlockSamples && now - LastBlock >= BlockLength)
    closeBlock(now);
}

void LatencyBaseline::closeBlock(core::TimePoint now) {
  const double block = BlockSum / BlockCount;
  if (Minimum == 0)
    Minimum = block;
  const std::chrono::duration<double> elapsed = now - LastBlock;
  const double maxMinimum = Minimum * (1 + MaxRisePerSecond * elapsed.count());
  if (block < Minimum)
    Minimum += (block - Minimum) * FallWeight;
  else
    Minimum = std::min(block, maxMinimum);
  BlockSum = 0;
  BlockCount = 0;
  LastBlock = now;
}

core::Duration LatencyBaseline::mean() const { return duration(Mean); }

core::Duration LatencyBaseline::minimum() const { return duration(Minimum); }

double LatencyBaseline::ratio(core::Duration latency) const {
  if (Minimum == 0)
    return 1;
  return nanoseconds(latency) / Minimum;
}

} // namespace acaciaroad::upstream
