#include "Programs/Load/LatencyRecorder.h"

#include <algorithm>

namespace acaciaroad::load {

namespace {

constexpr unsigned Bins = 2400;
/// In nanoseconds.
constexpr double Shortest = 1e3;
constexpr double Longest = 1e12;

} // namespace

LatencyRecorder::LatencyRecorder()
    : Counts(boost::histogram::make_histogram(Axis(Bins, Shortest, Longest))) {}

void LatencyRecorder::add(core::Duration latency) {
  const double ns = static_cast<double>(latency.count());
  Counts(std::clamp(ns, Shortest, Longest / 2));
  Total += 1;
  Max = std::max(Max, latency);
}

core::Duration LatencyRecorder::quantile(double quantile) const {
  double sum = 0;
  for (int n = 0; n < Counts.axis().size(); ++n) {
    sum += Counts.at(n);
    if (sum < quantile * Total || sum == 0)
      continue;
    const double upper = Counts.axis().value(n + 1);
    return std::min(Max, core::Duration(static_cast<std::int64_t>(upper)));
  }
  return Max;
}

} // namespace acaciaroad::load
