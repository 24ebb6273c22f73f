#include "Sidecar/DrainPlan.h"

#include <algorithm>
#include <utility>

namespace acaciaroad::sidecar {

namespace {

/// Clients stop sending requests after two failed health checks, one second
/// apart.
constexpr core::Duration MaxReadinessDelay = std::chrono::milliseconds(2300);

/// Time for other nodes to close their connections, counted from when this node
/// starts to refuse requests. They learn of the drain from the fleet log within
/// one second of the signal; a connection that is open for longer belongs to a
/// node that is down or partitioned.
constexpr core::Duration PeerCloseTimeout = std::chrono::milliseconds(500);

/// Percentage of the allowed time after which the remaining requests are
/// failed. Operators expect the node to wait for upstreams for five sixths of
/// that time, so this must be larger.
constexpr int RequestDeadlinePercent = 87;

/// Percentage of the allowed time after which the process exits, even if
/// responses are still unwritten.
constexpr int ExitDeadlinePercent = 92;

} // namespace

core::Result<DrainPlan> DrainPlan::create(core::Duration allowed) {
  if (allowed <= core::Duration::zero())
    return core::fail(core::ErrorKind::InvalidArgument,
                      "the drain time must be positive");
  return DrainPlan(allowed);
}

DrainPlan::DrainPlan(core::Duration allowed)
    : ReadinessDelay(std::min<core::Duration>(MaxReadinessDelay, allowed / 2)),
      RequestDeadline(allowed * RequestDeadlinePercent / 100),
      ExitDeadline(allowed * ExitDeadlinePercent / 100) {}

bool DrainPlan::canClose(core::Duration age, DrainLoad load) const {
  return load == DrainLoad::Nothing ||
         (load == DrainLoad::Connections &&
          age >= ReadinessDelay + PeerCloseTimeout);
}

DrainStep DrainPlan::next(core::Duration age, DrainLoad load) {
  if (age < ReadinessDelay)
    return DrainStep::Serve;
  if (canClose(age, load))
    return std::exchange(HasClosed, true) ? DrainStep::Stop : DrainStep::Close;
  if (age < RequestDeadline)
    return DrainStep::Refuse;
  if (!std::exchange(HasFailedRequests, true))
    return DrainStep::FailRequests;
  return age < ExitDeadline ? DrainStep::Refuse : DrainStep::Stop;
}

} // namespace acaciaroad::sidecar
