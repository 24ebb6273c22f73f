#include "Upstream/LoopDelay.h"

#include <algorithm>
#include <numeric>

namespace acaciaroad::upstream {

void LoopDelay::timerRan(core::TimePoint due, core::TimePoint now) {
  Samples[Next] = std::max(core::Duration{}, now - due);
  Next = (Next + 1) % SampleCount;
}

core::Duration LoopDelay::expected() const {
  const auto sum =
      std::accumulate(Samples.begin(), Samples.end(), core::Duration{});
  const auto longest = *std::max_element(Samples.begin(), Samples.end());
  return (sum - longest) / (SampleCount - 1);
}

} // namespace acaciaroad::upstream
