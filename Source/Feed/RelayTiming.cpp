#include "Feed/RelayTiming.h"

#include <algorithm>

namespace acaciaroad::feed {

using std::chrono::milliseconds;

namespace {

/// Pause between reads through a relay; reads by many nodes must not load it.
constexpr core::Duration RelayedPause = milliseconds(500);

/// Time for a read of the log itself while the log is slow.
constexpr core::Duration DirectReadTime = milliseconds(400);

/// From the start of a read until the log itself has been read, if all relays
/// that are asked first are silent.
constexpr core::Duration FallbackTime =
    MaxRelaysPerRead * RelayTimeout + DirectReadTime;

/// A smaller age would need too many calls to the log.
constexpr core::Duration MinMaxAge = milliseconds(500);

/// Keys of client accounts are accepted only while the configuration was
/// confirmed within the last few seconds, so long polls must be short.
constexpr core::Duration LongestWait = milliseconds(1000);

} // namespace

RelayTiming RelayTiming::forBound(core::Duration bound) {
  RelayTiming out;
  out.Relayed.Pause = RelayedPause;
  out.Relayed.MaxAge = std::max(MinMaxAge, bound - FallbackTime);
  // A third of the age is left for the call and for the relay's own delays.
  out.Direct.Wait = std::min(LongestWait, out.Relayed.MaxAge * 2 / 3);
  return out;
}

} // namespace acaciaroad::feed
