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
  struct Request {
    core::InstanceId Sender;
    std::uint64_t Key = 0;
    core::Duration Start{};
    core::Duration End{};
  };

  /// Starts \p order. Returns false if an order of another incarnation on the
  /// same key still runs.
  bool start(const Request &request) {
    auto &running = Requests[request.Key];
    std::erase_if(running,
                  [&](const Request &it) { return it.End <= request.Start; });
    for (const Request &it : running)
      if (it.Sender != request.Sender)
        return false;
    running.push_back(request);
    return true;
  }

  /// Returns whether an order of \p by on \p key runs at \p now.
  bool isRunning(core::InstanceId sender, std::uint64_t key,
                 core::Duration now) const {
    const auto it = Requests.find(key);
    if (it == Requests.end())
      return false;
    for (const Request &request : it->second)
      if (request.Sender == sender && request.End > now)
        return true;
    return false;
  }

private:
  std::map<std::uint64_t, std::vector<Request>> Requests;
};

} // namespace acaciaroad::scenarios

#endif
