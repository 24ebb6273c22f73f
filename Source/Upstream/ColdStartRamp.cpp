#include "Upstream/ColdStartRamp.h"

#include <algorithm>

namespace acaciaroad::upstream {

namespace {

/// Completed orders that a phase requires per order of the limit.
constexpr std::uint32_t InitialSamplesPerOrder = 16;
constexpr std::uint32_t MaxSamplesPerOrder = 32;
/// Minimum number of completed orders for a meaningful mean latency of a phase.
constexpr std::uint32_t MinPhaseSamples = 48;
constexpr core::Duration PhaseLength = std::chrono::milliseconds(250);
/// The low-load phase has the limit divided by this number in flight.
constexpr std::uint32_t LowLoadDivisor = 3;
/// Latency ratio that is not yet taken as a sign of overload.
constexpr double ToleratedRatio = 1.5;
/// Fraction of a saturated upstream's latency increase above which the upstream
/// is taken as saturated.
constexpr double QueueingShare = 0.5;
/// Smallest relative latency increase that is not taken as noise.
constexpr double MinSignificantRise = 0.15;

} // namespace

core::Result<ColdStartRamp> ColdStartRamp::create(std::uint32_t slots,
                                                  core::TimePoint now) {
  if (slots == 0)
    return core::fail(
        core::ErrorKind::InvalidArgument,
        "the cold start ramp of an upstream needs at least one slot");
  return ColdStartRamp(slots, now);
}

ColdStartRamp::ColdStartRamp(std::uint32_t slots, core::TimePoint now)
    : Slots(slots), SamplesPerOrder(InitialSamplesPerOrder), PhaseStart(now) {}

void ColdStartRamp::restart(core::TimePoint now) {
  Limit = 1;
  SamplesPerOrder = InitialSamplesPerOrder;
  Warm = false;
  BaselineRatio = 0;
  beginStep(now);
}

void ColdStartRamp::observe(double latencyRatio, std::uint32_t inFlight,
                            core::TimePoint now) {
  if (Warm || inFlight < limit())
    return;
  if (StaleOrders > 0) {
    --StaleOrders;
    return;
  }
  Phase &phase = IsFullLoad ? FullLoad : LowLoad;
  phase.Sum += latencyRatio;
  ++phase.Count;
  if (phase.Count >= requiredSamples() && now - PhaseStart >= PhaseLength)
    closePhase(now);
}

void ColdStartRamp::observeOverload(core::TimePoint now) {
  if (Warm)
    return;
  Limit = std::max(1U, Limit / 2);
  SamplesPerOrder = std::min(MaxSamplesPerOrder, SamplesPerOrder * 2);
  beginStep(now);
}

void ColdStartRamp::closePhase(core::TimePoint now) {
  if (IsFullLoad) {
    closeStep();
    beginStep(now);
    return;
  }
  StaleOrders = limit();
  IsFullLoad = true;
  PhaseStart = now;
}

void ColdStartRamp::closeStep() {
  updateBaselineRatio(LowLoad.Count > 0 ? LowLoad.mean() : FullLoad.mean());
  const double latencyIncrease = FullLoad.mean() / BaselineRatio;
  if (isQueueing(latencyIncrease)) {
    const auto sustainable =
        static_cast<std::uint32_t>(Limit / latencyIncrease);
    Limit = std::clamp(sustainable, 1U, Limit - 1);
    SamplesPerOrder = std::min(MaxSamplesPerOrder, SamplesPerOrder * 2);
  } else {
    Limit = std::min(Limit + 1, bearable(BaselineRatio));
    SamplesPerOrder = std::max(InitialSamplesPerOrder, SamplesPerOrder / 2);
  }
  Warm = Limit >= Slots;
}

void ColdStartRamp::beginStep(core::TimePoint now) {
  StaleOrders = limit();
  // A limit of one order leaves no room for a low-load phase.
  IsFullLoad = Limit == 1;
  LowLoad = Phase();
  FullLoad = Phase();
  PhaseStart = now;
}

void ColdStartRamp::updateBaselineRatio(double latencyRatio) {
  // Averaging reduces noise; older phases may be out of date.
  BaselineRatio =
      BaselineRatio == 0 ? latencyRatio : (BaselineRatio + latencyRatio) / 2;
}

std::uint32_t ColdStartRamp::requiredSamples() const {
  return std::max(MinPhaseSamples, SamplesPerOrder * limit());
}

bool ColdStartRamp::isQueueing(double latencyIncrease) const {
  if (Limit == 1)
    return false;
  // In a saturated upstream, one more order raises latency by one part in the
  // number of orders before it.
  const double queueing = QueueingShare / (Limit - 1);
  return latencyIncrease > 1 + std::max(MinSignificantRise, queueing);
}

std::uint32_t ColdStartRamp::bearable(double latencyRatio) const {
  const double share = std::min(1.0, ToleratedRatio / latencyRatio);
  return std::max(1U, static_cast<std::uint32_t>(share * Slots));
}

bool ColdStartRamp::isWarm() const { return Warm; }

std::uint32_t ColdStartRamp::limit() const {
  return IsFullLoad ? Limit : std::max(1U, Limit / LowLoadDivisor);
}

} // namespace acaciaroad::upstream
