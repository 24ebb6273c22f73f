#include "Upstream/ConcurrencyLimit.h"

#include <algorithm>

namespace acaciaroad::upstream {

namespace {

constexpr std::uint32_t WindowSamples = 16;
constexpr core::Duration WindowLength = std::chrono::milliseconds(100);
/// Latency ratio up to which the upstream is assumed to have no internal queue.
constexpr double ToleratedRatio = 2.0;
constexpr double MinDecreaseFactor = 0.5;
constexpr double ShedDecreaseFactor = 0.75;

} // namespace

core::Result<ConcurrencyLimit> ConcurrencyLimit::create(std::uint32_t slots) {
  if (slots == 0)
    return core::fail(
        core::ErrorKind::InvalidArgument,
        "the concurrency limit of an upstream needs at least one slot");
  return ConcurrencyLimit(slots);
}

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t slots)
    : Slots(slots), Limit(slots) {}

void ConcurrencyLimit::observe(double latencyRatio, std::uint32_t inFlight,
                               core::TimePoint now) {
  RatioSum += latencyRatio;
  ++Samples;
  SaturatedInWindow = SaturatedInWindow || inFlight >= current();
  if (Samples >= WindowSamples && now - WindowStart >= WindowLength)
    closeWindow(now);
}

void ConcurrencyLimit::observeShed(core::TimePoint now) {
  if (!ShedInWindow)
    decrease(ShedDecreaseFactor);
  ShedInWindow = true;
  if (now - WindowStart >= WindowLength)
    closeWindow(now);
}

void ConcurrencyLimit::closeWindow(core::TimePoint now) {
  const double ratio = Samples == 0 ? 1 : RatioSum / Samples;
  if (ratio > ToleratedRatio)
    decrease(std::max(MinDecreaseFactor, ToleratedRatio / ratio));
  else if (SaturatedInWindow && !ShedInWindow)
    Limit = std::min<double>(Slots, Limit + 1);
  RatioSum = 0;
  Samples = 0;
  SaturatedInWindow = false;
  ShedInWindow = false;
  WindowStart = now;
}

void ConcurrencyLimit::decrease(double factor) {
  Limit = std::max(1.0, Limit * factor);
}

std::uint32_t ConcurrencyLimit::current() const {
  return static_cast<std::uint32_t>(Limit);
}

} // namespace acaciaroad::upstream
