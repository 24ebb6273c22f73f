#include "Upstream/ColdStartRamp.h"

#include <algorithm>

namespace acaciaroad::upstream {

namespace {

/// Completed orders that a phase asks for, for each order of the limit.
constexpr std::uint32_t InitialStepWork = 16;
constexpr std::uint32_t LargestStepWork = 32;
/// Completed orders without which a phase's latency says too little.
constexpr std::uint32_t FewestOrders = 48;
constexpr core::Duration PhaseLength = std::chrono::milliseconds(250);
/// The phase with few orders has this part of the limit in flight.
constexpr std::uint32_t FewDivisor = 3;
/// Latency over its minimum that is not yet taken for a sign of overload.
constexpr double ToleratedRatio = 1.5;
/// Part of the rise of an upstream without room that shows there is none.
constexpr double QueueingShare = 0.5;
/// Smallest rise that is told from chance.
constexpr double SmallestRise = 0.15;

} // namespace

core::Result<ColdStartRamp> ColdStartRamp::create(std::uint32_t slots,
                                                  core::TimePoint now) {
  if (slots == 0)
    return core::fail(core::ErrorKind::InvalidArgument,
                      "an upstream needs at least one slot");
  return ColdStartRamp(slots, now);
}

ColdStartRamp::ColdStartRamp(std::uint32_t slots, core::TimePoint now)
    : Slots(slots), StepWork(InitialStepWork), PhaseStart(now) {}

void ColdStartRamp::restart(core::TimePoint now) {
  Limit = 1;
  StepWork = InitialStepWork;
  Warm = false;
  Quiet = 0;
  beginStep(now);
}

void ColdStartRamp::observe(double latencyRatio, std::uint32_t inFlight,
                            core::TimePoint now) {
  if (Warm || inFlight < limit())
    return;
  if (Leftover > 0) {
    --Leftover;
    return;
  }
  Phase &phase = IsFull ? Full : Few;
  phase.Sum += latencyRatio;
  ++phase.Count;
  if (phase.Count >= workOfPhase() && now - PhaseStart >= PhaseLength)
    closePhase(now);
}

void ColdStartRamp::overloaded(core::TimePoint now) {
  if (Warm)
    return;
  Limit = std::max(1U, Limit / 2);
  StepWork = std::min(LargestStepWork, StepWork * 2);
  beginStep(now);
}

void ColdStartRamp::closePhase(core::TimePoint now) {
  if (IsFull) {
    closeStep();
    beginStep(now);
    return;
  }
  Leftover = limit();
  IsFull = true;
  PhaseStart = now;
}

void ColdStartRamp::closeStep() {
  noteQuiet(Few.Count > 0 ? Few.mean() : Full.mean());
  const double rise = Full.mean() / Quiet;
  if (isCrowded(rise)) {
    const auto borne = static_cast<std::uint32_t>(Limit / rise);
    Limit = std::clamp(borne, 1U, Limit - 1);
    StepWork = std::min(LargestStepWork, StepWork * 2);
  } else {
    Limit = std::min(Limit + 1, bearable(Quiet));
    StepWork = std::max(InitialStepWork, StepWork / 2);
  }
  Warm = Limit >= Slots;
}

void ColdStartRamp::beginStep(core::TimePoint now) {
  Leftover = limit();
  // With one order in flight there is nothing to compare.
  IsFull = Limit == 1;
  Few = Phase();
  Full = Phase();
  PhaseStart = now;
}

void ColdStartRamp::noteQuiet(double latencyRatio) {
  // Two quiet phases tell more than one; an older one may be out of date.
  Quiet = Quiet == 0 ? latencyRatio : (Quiet + latencyRatio) / 2;
}

std::uint32_t ColdStartRamp::workOfPhase() const {
  return std::max(FewestOrders, StepWork * limit());
}

bool ColdStartRamp::isCrowded(double rise) const {
  if (Limit == 1)
    return false;
  // Without room for one more, latency rises by one part in those before.
  const double queueing = QueueingShare / (Limit - 1);
  return rise > 1 + std::max(SmallestRise, queueing);
}

std::uint32_t ColdStartRamp::bearable(double latencyRatio) const {
  const double share = std::min(1.0, ToleratedRatio / latencyRatio);
  return std::max(1U, static_cast<std::uint32_t>(share * Slots));
}

bool ColdStartRamp::isWarm() const { return Warm; }

std::uint32_t ColdStartRamp::limit() const {
  return IsFull ? Limit : std::max(1U, Limit / FewDivisor);
}

} // namespace acaciaroad::upstream
