#include "Upstream/UpstreamBreaker.h"

#include <algorithm>

namespace acaciaroad::upstream {

namespace {

/// Failures in a row that begin the first pause. Single orders fail at sound
/// upstreams too.
constexpr std::uint32_t FailureThreshold = 5;

/// Less than what most callers can wait.
constexpr core::Duration FirstPause = std::chrono::milliseconds(100);

/// An upstream that is sound again stays without orders for this time at most.
constexpr core::Duration LongestPause = std::chrono::milliseconds(400);

} // namespace

bool UpstreamBreaker::answered() {
  const bool wasOpen = isOpen();
  FailuresInRow = 0;
  Pauses = 0;
  PausedUntil = {};
  return wasOpen;
}

bool UpstreamBreaker::failed(core::TimePoint now) {
  ++FailuresInRow;
  // Orders that were in flight when the pause began say nothing new.
  if (now < PausedUntil || (!isOpen() && FailuresInRow < FailureThreshold))
    return false;
  PausedUntil = now + std::min(LongestPause, FirstPause * (1 << Pauses));
  // Bounds the exponent.
  Pauses = std::min(Pauses + 1, 8U);
  return true;
}

} // namespace acaciaroad::upstream
