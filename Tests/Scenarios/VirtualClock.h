/// \file
/// Simulated time of a test and its queue of scheduled events.

#ifndef ACACIAROAD_SCENARIOS_VIRTUALCLOCK_H
#define ACACIAROAD_SCENARIOS_VIRTUALCLOCK_H

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "Core/Clock.h"

namespace acaciaroad::scenarios {

using core::Duration;

/// Runs events in order of due time; events due at the same time run in the
/// order in which they were scheduled.
class VirtualClock {
public:
  /// Returns the simulated time since the start of the test.
  Duration now() const { return Now; }

  void after(Duration delay, std::function<void()> event) {
    Events.emplace(std::pair(Now + delay, Next++), std::move(event));
  }

  /// Runs all events due up to and including \p time, then sets the clock to
  /// it.
  void runUntil(Duration time) {
    while (!Events.empty() && Events.begin()->first.first <= time) {
      auto node = Events.extract(Events.begin());
      Now = node.key().first;
      node.mapped()();
    }
    Now = time;
  }

private:
  Duration Now{0};
  std::uint64_t Next = 0;
  std::map<std::pair<Duration, std::uint64_t>, std::function<void()>> Events;
};

} // namespace acaciaroad::scenarios

#endif
