#include "Rollouts/RolloutTypes.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace acaciaroad::rollouts {

std::string_view toString(Phase phase) {
  switch (phase) {
  case Phase::Warming:
    return "warming";
  case Phase::Comparing:
    return "comparing";
  case Phase::Settling:
    return "settling";
  case Phase::Complete:
    return "complete";
  case Phase::RolledBack:
    return "rolled_back";
  }
  return "";
}

std::size_t binOf(core::Duration latency) {
  constexpr double BinsPerDoubling = 2;
  const double ms = std::chrono::duration<double, std::milli>(latency).count();
  if (ms < 1)
    return 0;
  const auto bin =
      static_cast<std::size_t>(1 + std::floor(BinsPerDoubling * std::log2(ms)));
  return std::min(bin, LatencyBins - 1);
}

void AnswerCounts::add(bool isFailure, core::Duration latency) {
  Failures += isFailure ? 1 : 0;
  ++Latency[binOf(latency)];
}

std::uint64_t AnswerCounts::answers() const {
  return std::accumulate(Latency.begin(), Latency.end(), std::uint64_t{0});
}

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &other) {
  Failures += other.Failures;
  for (std::size_t n = 0; n < LatencyBins; ++n)
    Latency[n] += other.Latency[n];
  return *this;
}

AnswerCounts &AnswerCounts::operator-=(const AnswerCounts &other) {
  Failures -= std::min(Failures, other.Failures);
  for (std::size_t n = 0; n < LatencyBins; ++n)
    Latency[n] -= std::min(Latency[n], other.Latency[n]);
  return *this;
}

} // namespace acaciaroad::rollouts
