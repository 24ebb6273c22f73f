#include "Node/UpstreamMonitor.h"

namespace acaciaroad::node {

core::Result<void>
UpstreamMonitor::announced(const upstream::UpstreamAnnouncement &upstream,
                           core::TimePoint now) {
  if (Now == State::Gone)
    return core::fail(core::ErrorKind::NodeStopping, "the upstream has left");
  if (Now != State::Unknown && upstream.Service != Service)
    return core::fail(core::ErrorKind::Conflict,
                      "the upstream changed its service");
  Service = upstream.Service;
  LastHeartbeat = now;
  Now = State::Present;
  return {};
}

UpstreamMonitor::State UpstreamMonitor::onTick(core::TimePoint now) {
  if (Now == State::Present && now - LastHeartbeat >= SilenceLimit)
    Now = State::Silent;
  if (Now == State::Silent && now - LastHeartbeat >= LossLimit)
    Now = State::Gone;
  return Now;
}

std::optional<core::TimePoint> UpstreamMonitor::nextDeadline() const {
  if (Now == State::Present)
    return LastHeartbeat + SilenceLimit;
  if (Now == State::Silent)
    return LastHeartbeat + LossLimit;
  return std::nullopt;
}

} // namespace acaciaroad::node
