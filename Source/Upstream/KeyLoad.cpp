#include "Upstream/KeyLoad.h"

#include <algorithm>
#include <cmath>

namespace acaciaroad::upstream {

namespace {

/// Time constant of the averages; hot keys change within seconds.
constexpr double FadeSeconds = 1;

/// A bucket below this rate counts as idle.
constexpr double LeastRate = 0.01;

} // namespace

KeyLoad::KeyLoad(std::uint32_t keys)
    : Rates((keys + KeysPerBucket - 1) / KeysPerBucket) {}

void KeyLoad::arrived(std::uint32_t key) {
  const std::size_t bucket = key / KeysPerBucket;
  if (bucket < Rates.size())
    Rates[bucket] += 1 / FadeSeconds;
}

void KeyLoad::fade(core::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - Faded;
  Faded = now;
  const double factor = std::exp(-elapsed.count() / FadeSeconds);
  for (double &it : Rates)
    it = it < LeastRate ? 0 : it * factor;
}

double KeyLoad::rateOf(std::uint32_t from, std::uint32_t to) const {
  const std::size_t end =
      std::min<std::size_t>(to / KeysPerBucket + 1, Rates.size());
  double out = 0;
  for (std::size_t n = from / KeysPerBucket; n < end; ++n)
    out += Rates[n];
  return out;
}

} // namespace acaciaroad::upstream
