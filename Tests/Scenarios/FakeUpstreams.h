/// \file
/// The upstreams of a test, as far as they tell whether two owners worked on a
/// key at once.

#ifndef ACACIAROAD_SCENARIOS_FAKEUPSTREAMS_H
#define ACACIAROAD_SCENARIOS_FAKEUPSTREAMS_H

#include <cstdint>
#include <map>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"

namespace acaciaroad::scenarios {

/// Records which incarnation's orders run on which key, in true time.
class FakeUpstreams {
public:
  struct Order {
    core::InstanceId By;
    std::uint64_t Key = 0;
    core::Duration Start{};
    core::Duration End{};
  };

  /// Starts \p order. Returns false if an order of another incarnation on the
  /// same key still runs.
  bool start(const Order &order) {
    auto &running = Orders[order.Key];
    std::erase_if(running,
                  [&](const Order &it) { return it.End <= order.Start; });
    for (const Order &it : running)
      if (it.By != order.By)
        return false;
    running.push_back(order);
    return true;
  }

  /// Returns whether an order of \p by on \p key runs at \p now.
  bool isRunning(core::InstanceId by, std::uint64_t key,
                 core::Duration now) const {
    const auto it = Orders.find(key);
    if (it == Orders.end())
      return false;
    for (const Order &order : it->second)
      if (order.By == by && order.End > now)
        return true;
    return false;
  }

private:
  std::map<std::uint64_t, std::vector<Order>> Orders;
};

} // namespace acaciaroad::scenarios

#endif
