#include "Requests/StoppingNodes.h"

namespace acaciaroad::requests {

namespace {

/// Time that a node needs to stop and restart after its first refusal; on the
/// smallest machines the start alone takes 0.6 s.
constexpr core::Duration RestartPause = std::chrono::milliseconds(600);

} // namespace

void StoppingNodes::refused(std::string_view node, core::TimePoint now) {
  Until.insert_or_assign(std::string(node), now + RestartPause);
}

core::Duration StoppingNodes::remainingPause(std::string_view node,
                                             core::TimePoint now) {
  const auto it = Until.find(node);
  if (it == Until.end())
    return {};
  if (now < it->second)
    return it->second - now;
  Until.erase(it);
  return {};
}

} // namespace acaciaroad::requests
