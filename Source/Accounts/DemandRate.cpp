#include "Accounts/DemandRate.h"

#include <algorithm>
#include <cmath>

namespace acaciaroad::accounts {

namespace {

/// Time in which the weight of a request decays to 1/e.
constexpr core::Duration TimeConstant = std::chrono::milliseconds(500);

double ratio(core::Duration a, core::Duration b) {
  return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

} // namespace

void DemandRate::add(core::TimePoint now) {
  Weight = decayed(now) + 1;
  Last = std::max(Last, now);
}

double DemandRate::expectedIn(core::Duration span, core::TimePoint now) const {
  return decayed(now) * ratio(span, TimeConstant);
}

double DemandRate::decayed(core::TimePoint now) const {
  if (Weight == 0 || now <= Last)
    return Weight;
  return Weight * std::exp(-ratio(now - Last, TimeConstant));
}

} // namespace acaciaroad::accounts
