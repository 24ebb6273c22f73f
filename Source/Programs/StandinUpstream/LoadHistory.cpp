#include "Programs/StandinUpstream/LoadHistory.h"

#include <algorithm>

namespace acaciaroad::standinupstream {

namespace {

constexpr std::size_t MaxSamples = 16'384;

} // namespace

void LoadHistory::add(const LoadSample &sample) {
  const std::lock_guard lock(Mutex);
  Samples.push_back(sample);
  if (Samples.size() > MaxSamples)
    Samples.pop_front();
}

LoadSample LoadHistory::at(core::TimePoint time) const {
  const std::lock_guard lock(Mutex);
  const auto it =
      std::upper_bound(Samples.begin(), Samples.end(), time,
                       [](core::TimePoint end, const LoadSample &sample) {
                         return end < sample.Time;
                       });
  return it == Samples.begin() ? LoadSample{} : *std::prev(it);
}

} // namespace acaciaroad::standinupstream
