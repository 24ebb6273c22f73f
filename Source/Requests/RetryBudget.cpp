#include "Requests/RetryBudget.h"

#include <algorithm>

namespace acaciaroad::requests {

core::Result<RetryBudget> RetryBudget::create(double ratio, core::TimePoint now,
                                              const RetryBudgetLimits &limits) {
  if (!(ratio >= 0 && ratio <= 1))
    return core::fail(core::ErrorKind::InvalidArgument,
                      "the ratio of a retry budget is between 0 and 1");
  return RetryBudget(ratio, now, limits);
}

RetryBudget::RetryBudget(double ratio, core::TimePoint now,
                         const RetryBudgetLimits &limits)
    : Ratio(ratio), Limits(limits), Level(limits.Initial), Filled(now) {}

void RetryBudget::requested(core::TimePoint now) {
  refill(now);
  Level = std::min(Limits.Largest, Level + Ratio);
}

bool RetryBudget::take(core::TimePoint now) {
  refill(now);
  if (Level < 1)
    return false;
  Level -= 1;
  return true;
}

void RetryBudget::refill(core::TimePoint now) {
  if (now <= Filled)
    return;
  const std::chrono::duration<double> elapsed = now - Filled;
  Filled = now;
  // The floor fills up only what an idle class starts with.
  if (Level < Limits.Initial)
    Level = std::min(Limits.Initial,
                     Level + Limits.FloorPerSecond * elapsed.count());
}

} // namespace acaciaroad::requests
