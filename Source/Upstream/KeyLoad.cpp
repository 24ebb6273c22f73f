#include "Upstream/KeyLoad.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciaroad::upstream {

namespace {

/// Time constant of the moving averages. Short, because the set of hot keys
/// changes within seconds.
constexpr double DecaySeconds = 1;

/// Rates below this value, in requests per second, are set to 0.
constexpr double MinRate = 0.01;

/// Standard deviations by which the requests of an interval have to exceed the
/// predicted number. Less would often be chance.
constexpr double SignificantDeviations = 4;

/// Bounds the growth after a time with hardly any requests.
constexpr double MaxGrowth = 8;

} // namespace

KeyLoad::KeyLoad(std::uint32_t keys)
    : Rates((keys + KeysPerBucket - 1) / KeysPerBucket) {}

void KeyLoad::recordRequest(std::uint32_t key) {
  const std::size_t bucket = key / KeysPerBucket;
  if (bucket >= Rates.size())
    return;
  Rates[bucket] += 1 / DecaySeconds;
  ++Arrivals;
}

void KeyLoad::decay(core::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - LastDecay;
  LastDecay = now;
  const double factor = std::exp(-elapsed.count() / DecaySeconds);
  double total = 0;
  for (double &it : Rates) {
    it = it < MinRate ? 0 : it * factor;
    total += it;
  }
  const double arrivals = std::exchange(Arrivals, 0);
  const double predicted = total * elapsed.count();
  const bool hasGrown =
      arrivals >
      predicted + 1 + SignificantDeviations * std::sqrt(predicted + 1);
  Growth = hasGrown ? std::min(MaxGrowth, arrivals / predicted) : 1;
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
