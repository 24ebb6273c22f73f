#include "Core/Backoff.h"

#include <algorithm>

namespace acaciaroad::core {

Backoff::Backoff(Duration shortest, Duration longest, std::uint64_t seed)
    : Shortest(shortest), Longest(longest), Bound(shortest), Random(seed) {}

Duration Backoff::next() {
  std::uniform_int_distribution<Duration::rep> pause(Bound.count() / 2,
                                                     Bound.count());
  Bound = std::min(2 * Bound, Longest);
  return Duration(pause(Random));
}

} // namespace acaciaroad::core
