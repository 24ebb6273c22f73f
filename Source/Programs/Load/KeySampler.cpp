#include "Programs/Load/KeySampler.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "Core/Identifiers.h"

namespace acaciaroad::load {

KeySampler::KeySampler(const WorkClass &workClass)
    : Keys(workClass.Keys), HotKeys(std::min(workClass.HotKeys, Keys)),
      HotShare(workClass.HotShare), HotInterval(workClass.HotInterval) {
  double sum = 0;
  Cumulative.reserve(Keys);
  for (std::uint32_t n = 0; n < Keys; ++n) {
    sum += std::pow(static_cast<double>(n) + 1, -workClass.ZipfExponent);
    Cumulative.push_back(sum);
  }
  for (double &it : Cumulative)
    it /= sum;
}

std::uint32_t KeySampler::draw(std::mt19937_64 &random,
                               core::Duration time) const {
  std::uniform_real_distribution<double> share(0, 1);
  if (HotKeys != 0 && share(random) < HotShare)
    return drawHot(random, time);
  const auto it =
      std::lower_bound(Cumulative.begin(), Cumulative.end(), share(random));
  const auto n = static_cast<std::uint32_t>(it - Cumulative.begin());
  return std::min(n, Keys - 1);
}

std::uint32_t KeySampler::drawHot(std::mt19937_64 &random,
                                  core::Duration time) const {
  const auto move = HotInterval.count() == 0 ? 0 : time / HotInterval;
  const std::uint64_t first = core::hashOf(std::to_string(move));
  std::uniform_int_distribution<std::uint32_t> member(0, HotKeys - 1);
  return static_cast<std::uint32_t>((first + member(random)) % Keys);
}

} // namespace acaciaroad::load
