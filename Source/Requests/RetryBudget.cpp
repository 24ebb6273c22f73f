#include "Requests/RetryBudget.h"

#include <algorithm>

namespace acaciaroad::requests {

namespace {

/// Extra attempts a second that need no traffic.
constexpr double FloorPerSecond = 1;
/// Extra attempts that can be saved up.
constexpr double LargestLevel = 50;
constexpr double InitialLevel = 3;

} // namespace

core::Result<RetryBudget> RetryBudget::create(double ratio,
                                              core::TimePoint now) {
  if (!(ratio >= 0 && ratio <= 1))
    return core::fail(core::ErrorKind::InvalidArgument,
                      "the ratio of a retry budget is between 0 and 1");
  return RetryBudget(ratio, now);
}

RetryBudget::RetryBudget(double ratio, core::TimePoint now)
    : Ratio(ratio), Level(InitialLevel), Filled(now) {}

void RetryBudget::requested(core::TimePoint now) {
  refill(now);
  Level = std::min(LargestLevel, Level + Ratio);
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
  if (Level < InitialLevel)
    Level = std::min(InitialLevel, Level + FloorPerSecond * elapsed.count());
}

} // namespace acaciaroad::requests
