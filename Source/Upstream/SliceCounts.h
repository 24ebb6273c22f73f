/// \file
/// Number of active requests per slice, used for planned slice moves.

#ifndef ACACIAROAD_UPSTREAM_SLICECOUNTS_H
#define ACACIAROAD_UPSTREAM_SLICECOUNTS_H

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "Core/Identifiers.h"

namespace acaciaroad::upstream {

/// Counts the waiting and running requests of each slice. Requests without a
/// slice are not counted.
class SliceCounts {
public:
  void add(std::optional<core::SliceIndex> slice);
  void remove(std::optional<core::SliceIndex> slice);
  std::uint32_t count(core::SliceIndex slice) const;

private:
  std::unordered_map<core::SliceIndex, std::uint32_t> Counts;
};

} // namespace acaciaroad::upstream

#endif
