#include "Upstream/SlidingWindowLimiter.h"

namespace acaciaroad::upstream {

namespace {

/// A second, and room for requests that reach the upstream closer together
/// than they were sent.
constexpr core::Duration Window = std::chrono::milliseconds(1050);

} // namespace

bool SlidingWindowLimiter::mayStart(core::TimePoint now) {
  forget(now);
  return Bound == 0 || Starts.size() < Bound;
}

void SlidingWindowLimiter::started(core::TimePoint now) {
  forget(now);
  Starts.push_back(now);
}

core::TimePoint SlidingWindowLimiter::nextStart(core::TimePoint now) {
  if (mayStart(now))
    return now;
  return Starts[Starts.size() - Bound] + Window;
}

void SlidingWindowLimiter::forget(core::TimePoint now) {
  while (!Starts.empty() && now - Starts.front() >= Window)
    Starts.pop_front();
}

} // namespace acaciaroad::upstream
