#include "Requests/HedgePolicy.h"

#include <algorithm>

namespace acaciaroad::requests {

namespace {

constexpr std::uint32_t MinSamples = 64;
constexpr std::uint32_t UpdateIntervalSamples = 64;
constexpr double SlowQuantile = 0.95;
constexpr double TypicalQuantile = 0.5;

} // namespace

HedgePolicy::HedgePolicy(const RequestPolicy &policy)
    : IsIdempotent(policy.Runs == configuration::Execution::Idempotent),
      LatencyTarget(policy.LatencyTarget) {}

void HedgePolicy::observe(core::Duration latency) {
  Latencies.observe(latency);
  if (++SamplesSinceUpdate >= UpdateIntervalSamples)
    update();
}

void HedgePolicy::update() {
  SamplesSinceUpdate = 0;
  Delay.reset();
  if (!IsIdempotent || Latencies.samples() < MinSamples)
    return;
  const core::Duration typical = Latencies.quantile(TypicalQuantile);
  const core::Duration latest = LatencyTarget - typical;
  // If a typical request uses up the target, hedges would only add load.
  if (latest <= typical)
    return;
  Delay = std::min(latest, Latencies.quantile(SlowQuantile));
}

std::optional<core::Duration> HedgePolicy::delay() const { return Delay; }

} // namespace acaciaroad::requests
