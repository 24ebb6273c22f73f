#include "Programs/StandinUpstream/GrantLedger.h"

#include <algorithm>

namespace acaciaroad::standinupstream {

bool GrantLedger::admit(const Grant &grant, core::TimePoint now) {
  core::Epoch &highest = Highest[grant.Slice];
  if (grant.Expiry <= now || grant.Epoch < highest)
    return false;
  highest = grant.Epoch;
  return true;
}

void GrantLedger::recordStart(const Grant &grant, core::TimePoint now) {
  core::Epoch &highest = Highest[grant.Slice];
  if (grant.Epoch < highest)
    ++StaleStarts;
  if (grant.Expiry <= now)
    ++ExpiredStarts;
  highest = std::max(highest, grant.Epoch);
  SliceUse &use = Uses[{grant.Slice, grant.Epoch}];
  if (use.Orders++ == 0) {
    use.Slice = grant.Slice;
    use.Epoch = grant.Epoch;
    use.FirstStart = now;
  }
  use.LastStart = now;
}

std::vector<SliceUse> GrantLedger::uses() const {
  std::vector<SliceUse> out;
  for (const auto &[key, use] : Uses)
    out.push_back(use);
  return out;
}

} // namespace acaciaroad::standinupstream
