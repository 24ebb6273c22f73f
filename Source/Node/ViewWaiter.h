/// \file
/// Wakes traffic threads when a new view is published.

#ifndef ACACIAROAD_NODE_VIEWWAITER_H
#define ACACIAROAD_NODE_VIEWWAITER_H

#include <condition_variable>
#include <cstdint>
#include <mutex>

#include "Core/Clock.h"

namespace acaciaroad::node {

/// Counts publications.
class ViewWaiter {
public:
  /// A view was published.
  void notify() {
    {
      const std::lock_guard lock(Mutex);
      ++Count;
    }
    Changed.notify_all();
  }

  std::uint64_t count() const {
    const std::lock_guard lock(Mutex);
    return Count;
  }

  /// Waits for a publication after \p seen, at most until \p deadline.
  void awaitAfter(std::uint64_t seen, core::TimePoint deadline) const {
    std::unique_lock lock(Mutex);
    Changed.wait_until(lock, deadline, [&] { return Count != seen; });
  }

private:
  mutable std::mutex Mutex;
  mutable std::condition_variable Changed;
  std::uint64_t Count = 0;
};

} // namespace acaciaroad::node

#endif
