/// \file
/// A virtual clock with scheduled calls.

#ifndef ACACIAROAD_TESTS_SUPPORT_EVENTLOOP_H
#define ACACIAROAD_TESTS_SUPPORT_EVENTLOOP_H

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "Core/Clock.h"

namespace acaciaroad::tests {

/// Runs calls in the order of their virtual time; calls of one moment run in
/// the order in which they were scheduled.
class EventLoop {
public:
  core::TimePoint now() const { return Now; }

  void at(core::TimePoint time, std::function<void()> call) {
    Calls.emplace(std::max(time, Now), std::move(call));
  }

  void after(core::Duration delay, std::function<void()> call) {
    at(Now + delay, std::move(call));
  }

  /// Runs all calls up to \p end and sets the clock to it.
  void runUntil(core::TimePoint end) {
    while (!Calls.empty() && Calls.begin()->first <= end) {
      const auto node = Calls.extract(Calls.begin());
      Now = node.key();
      node.mapped()();
    }
    Now = end;
  }

private:
  core::TimePoint Now{std::chrono::seconds(1000)};
  std::multimap<core::TimePoint, std::function<void()>> Calls;
};

} // namespace acaciaroad::tests

#endif
