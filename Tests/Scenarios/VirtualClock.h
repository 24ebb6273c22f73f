/// \file
/// True time of a test, and the events due at it.

#ifndef ACACIAROAD_SCENARIOS_VIRTUALCLOCK_H
#define ACACIAROAD_SCENARIOS_VIRTUALCLOCK_H

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "Core/Clock.h"

namespace acaciaroad::scenarios {

using core::Duration;

/// Runs events in the order of their times, then of their entry.
class VirtualClock {
public:
  /// Time since the start of the test.
  Duration now() const { return Now; }

  void after(Duration delay, std::function<void()> event) {
    Events.emplace(std::pair(Now + delay, Next++), std::move(event));
  }

  /// Runs all events up to \p time.
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
