/// \file
/// Draws the keys of a class of work.

#ifndef ACACIAROAD_LOAD_KEYSAMPLER_H
#define ACACIAROAD_LOAD_KEYSAMPLER_H

#include <cstdint>
#include <random>
#include <vector>

#include "Core/Clock.h"
#include "Programs/Load/Experiment.h"

namespace acaciaroad::load {

/// Zipf's law over all keys, and a hot set that takes a share and moves.
class KeySampler {
public:
  explicit KeySampler(const WorkClass &workClass);

  /// Returns a key number below the class's count for a request at \p time
  /// since the start.
  std::uint32_t draw(std::mt19937_64 &random, core::Duration time) const;

private:
  std::uint32_t drawHot(std::mt19937_64 &random, core::Duration time) const;

  std::uint32_t Keys;
  std::uint32_t HotKeys;
  double HotShare;
  core::Duration HotInterval;
  /// Probability of a key number or a lower one.
  std::vector<double> Cumulative;
};

} // namespace acaciaroad::load

#endif
