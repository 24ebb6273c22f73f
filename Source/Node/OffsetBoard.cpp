#include "Node/OffsetBoard.h"

#include <algorithm>

namespace acaciaroad::node {

void OffsetBoard::report(core::InstanceId id, core::Offset next) {
  const std::lock_guard lock(Mutex);
  core::Offset &known = Next[id];
  known = std::max(known, next);
  Changed.notify_all();
}

core::Offset OffsetBoard::nextOf(core::InstanceId id) const {
  const std::lock_guard lock(Mutex);
  const auto it = Next.find(id);
  return it == Next.end() ? 0 : it->second;
}

std::vector<core::InstanceId>
OffsetBoard::missingLocked(std::span<const core::InstanceId> ids,
                           core::Offset offset) const {
  std::vector<core::InstanceId> missing;
  for (const core::InstanceId id : ids) {
    const auto it = Next.find(id);
    if (it == Next.end() || it->second <= offset)
      missing.push_back(id);
  }
  return missing;
}

std::vector<core::InstanceId>
OffsetBoard::await(std::span<const core::InstanceId> ids, core::Offset offset,
                   core::TimePoint deadline) const {
  std::unique_lock lock(Mutex);
  Changed.wait_until(lock, deadline,
                     [&] { return missingLocked(ids, offset).empty(); });
  return missingLocked(ids, offset);
}

} // namespace acaciaroad::node
