/// \file
/// How far the instances of the fleet have folded the log.

#ifndef ACACIAROAD_NODE_OFFSETBOARD_H
#define ACACIAROAD_NODE_OFFSETBOARD_H

#include <condition_variable>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"

namespace acaciaroad::node {

/// Collects the reports of instances for threads that wait for a change to be
/// in force everywhere. Callable from any thread.
class OffsetBoard {
public:
  /// \p id has folded everything before \p next.
  void report(core::InstanceId id, core::Offset next);

  /// Returns the first offset that \p id has not folded; 0 if never heard.
  core::Offset nextOf(core::InstanceId id) const;

  /// Waits until all of \p ids have folded the record at \p offset, at most
  /// until \p deadline. Returns those that have not.
  std::vector<core::InstanceId> await(std::span<const core::InstanceId> ids,
                                      core::Offset offset,
                                      core::TimePoint deadline) const;

private:
  std::vector<core::InstanceId>
  missingLocked(std::span<const core::InstanceId> ids,
                core::Offset offset) const;

  mutable std::mutex Mutex;
  mutable std::condition_variable Changed;
  std::unordered_map<core::InstanceId, core::Offset> Next;
};

} // namespace acaciaroad::node

#endif
