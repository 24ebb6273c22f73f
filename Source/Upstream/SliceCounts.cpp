#include "Upstream/SliceCounts.h"

namespace acaciaroad::upstream {

void SliceCounts::add(std::optional<core::SliceIndex> slice) {
  if (slice)
    ++Counts[*slice];
}

void SliceCounts::remove(std::optional<core::SliceIndex> slice) {
  if (!slice)
    return;
  const auto it = Counts.find(*slice);
  if (it == Counts.end())
    return;
  if (--it->second == 0)
    Counts.erase(it);
}

std::uint32_t SliceCounts::count(core::SliceIndex slice) const {
  const auto it = Counts.find(slice);
  return it == Counts.end() ? 0 : it->second;
}

} // namespace acaciaroad::upstream
