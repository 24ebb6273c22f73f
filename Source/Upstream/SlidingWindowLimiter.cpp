#include "Upstream/SlidingWindowLimiter.h"

namespace acaciaroad::upstream {

namespace {

/// One second, plus a margin for requests that arrive at the upstream closer
/// together than they were sent.
constexpr core::Duration Window = std::chrono::milliseconds(1050);

} // namespace

bool SlidingWindowLimiter::isAllowed(core::TimePoint now) {
  forget(now);
  return Limit == 0 || Starts.size() < Limit;
}

void SlidingWindowLimiter::started(core::TimePoint now) {
  forget(now);
  Starts.push_back(now);
}

core::TimePoint SlidingWindowLimiter::nextAllowed(core::TimePoint now) {
  if (isAllowed(now))
    return now;
  return Starts[Starts.size() - Limit] + Window;
}

void SlidingWindowLimiter::forget(core::TimePoint now) {
  while (!Starts.empty() && now - Starts.front() >= Window)
    Starts.pop_front();
}

} // namespace acaciaroad::upstream
