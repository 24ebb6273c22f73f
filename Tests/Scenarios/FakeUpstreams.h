/// \file
/// Fake upstreams that detect requests of two owners running on the same key at
/// the same time.

#ifndef ACACIAROAD_SCENARIOS_FAKEUPSTREAMS_H
#define ACACIAROAD_SCENARIOS_FAKEUPSTREAMS_H

#include <cstdint>
#include <map>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"

namespace acaciaroad::scenarios {

/// Records the running requests by key and incarnation, in simulated time.
class FakeUpstreams {
public:
  struct Request {
    core::InstanceId Sender;
    std::uint64_t Key = 0;
    core::Duration Start{};
    core::Duration End{};
  };

  /// Starts \p request. Returns false if a request of another incarnation is
  /// still running on the same key.
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

  /// Returns whether a request of \p sender on \p key is running at \p now.
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
