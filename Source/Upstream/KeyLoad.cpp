#include "Upstream/KeyLoad.h"

#include <algorithm>
#include <cmath>

namespace acaciaroad::upstream {

namespace {

/// Time constant of the moving averages. Short, because the set of hot keys
/// changes within seconds.
constexpr double DecaySeconds = 1;

/// Rates below this value, in requests per second, are set to 0.
constexpr double MinRate = 0.01;

} // namespace

KeyLoad::KeyLoad(std::uint32_t keys)
    : Rates((keys + KeysPerBucket - 1) / KeysPerBucket) {}

void KeyLoad::recordRequest(std::uint32_t key) {
  const std::size_t bucket = key / KeysPerBucket;
  if (bucket < Rates.size())
    Rates[bucket] += 1 / DecaySeconds;
}

void KeyLoad::decay(core::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - LastDecay;
  LastDecay = now;
  const double factor = std::exp(-elapsed.count() / DecaySeconds);
  for (double &it : Rates)
    it = it < MinRate ? 0 : it * factor;
}

double KeyLoad::rateOfRange(std::uint32_t from, std::uint32_t to) const {
  const std::size_t end =
      std::min<std::size_t>(to / KeysPerBucket + 1, Rates.size());
  double out = 0;
  for (std::size_t n = from / KeysPerBucket; n < end; ++n)
    out += Rates[n];
  return out;
}

} // namespace acaciaroad::upstream
