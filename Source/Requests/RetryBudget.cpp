#include "Requests/RetryBudget.h"

#include <algorithm>

namespace acaciaroad::requests {

core::Result<RetryBudget> RetryBudget::create(double ratio, core::TimePoint now,
                                              const RetryBudgetLimits &limits) {
  if (!(ratio >= 0 && ratio <= 1))
    return core::fail(core::ErrorKind::InvalidArgument,
                      "the ratio of a retry budget must be between 0 and 1");
  return RetryBudget(ratio, now, limits);
}

RetryBudget::RetryBudget(double ratio, core::TimePoint now,
                         const RetryBudgetLimits &limits)
    : Ratio(ratio), Limits(limits), Tokens(limits.Initial), RefilledAt(now) {}

void RetryBudget::onRequest(core::TimePoint now) {
  refill(now);
  Tokens = std::min(Limits.Capacity, Tokens + Ratio);
}

bool RetryBudget::tryAcquire(core::TimePoint now) {
  refill(now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void RetryBudget::refill(core::TimePoint now) {
  if (now <= RefilledAt)
    return;
  const std::chrono::duration<double> elapsed = now - RefilledAt;
  RefilledAt = now;
  // The refill over time goes no further than the initial level.
  if (Tokens < Limits.Initial)
    Tokens = std::min(Limits.Initial,
                      Tokens + Limits.FloorPerSecond * elapsed.count());
}

} // namespace acaciaroad::requests
