#include "Platform/Backoff.h"

#include <algorithm>

namespace acaciaroad::platform {

Backoff::Backoff(core::Duration shortest, core::Duration longest,
                 std::uint64_t seed)
    : Shortest(shortest), Longest(longest), Bound(shortest), Random(seed) {}

core::Duration Backoff::next() {
  std::uniform_int_distribution<core::Duration::rep> pause(Bound.count() / 2,
                                                           Bound.count());
  Bound = std::min(2 * Bound, Longest);
  return core::Duration(pause(Random));
}

} // namespace acaciaroad::platform
