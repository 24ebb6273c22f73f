#include "Upstream/ColdStartRamp.h"

#include <algorithm>

namespace acaciaroad::upstream {

namespace {

/// Completed orders that a step asks for, for each order in flight.
constexpr std::uint32_t InitialStepWork = 4;
constexpr std::uint32_t LargestStepWork = 32;
constexpr core::Duration StepLength = std::chrono::milliseconds(250);
/// Latency over its minimum that is not yet taken for a sign of overload.
constexpr double ToleratedRatio = 1.5;

} // namespace

core::Result<ColdStartRamp> ColdStartRamp::create(std::uint32_t slots,
                                                  core::TimePoint now) {
  if (slots == 0)
    return core::fail(core::ErrorKind::InvalidArgument,
                      "an upstream needs at least one slot");
  return ColdStartRamp(slots, now);
}

ColdStartRamp::ColdStartRamp(std::uint32_t slots, core::TimePoint now)
    : Slots(slots), StepWork(InitialStepWork), StepStart(now) {}

void ColdStartRamp::restart(core::TimePoint now) {
  Limit = 1;
  StepWork = InitialStepWork;
  Warm = false;
  beginStep(now);
}

void ColdStartRamp::observe(double latencyRatio, std::uint32_t inFlight,
                            core::TimePoint now) {
  if (Warm || inFlight < Limit)
    return;
  RatioSum += latencyRatio;
  ++Completed;
  if (Completed >= StepWork * Limit && now - StepStart >= StepLength)
    closeStep(now);
}

void ColdStartRamp::overloaded(core::TimePoint now) {
  if (Warm)
    return;
  Limit = std::max(1U, Limit / 2);
  StepWork = std::min(LargestStepWork, StepWork * 2);
  beginStep(now);
}

void ColdStartRamp::closeStep(core::TimePoint now) {
  const std::uint32_t most = bearable(RatioSum / Completed);
  Limit = std::min(Limit + 1, most);
  Warm = Limit >= Slots;
  beginStep(now);
}

void ColdStartRamp::beginStep(core::TimePoint now) {
  RatioSum = 0;
  Completed = 0;
  StepStart = now;
}

std::uint32_t ColdStartRamp::bearable(double latencyRatio) const {
  const double share = std::min(1.0, ToleratedRatio / latencyRatio);
  return std::max(1U, static_cast<std::uint32_t>(share * Slots));
}

bool ColdStartRamp::isWarm() const { return Warm; }

std::uint32_t ColdStartRamp::limit() const { return Limit; }

} // namespace acaciaroad::upstream
