#include "Sidecar/DrainPlan.h"

#include <algorithm>
#include <utility>

namespace acaciaroad::sidecar {

namespace {

/// Clients stop sending new work after two health checks, a second apart.
constexpr core::Duration MaxReadinessDelay = std::chrono::milliseconds(2300);

/// Other nodes read within a second of the signal that the node stops, and
/// close their connections; one that is still open after this, counted from the
/// refusal of orders, belongs to a node that is down or cut off.
constexpr core::Duration PeerCloseTimeout = std::chrono::milliseconds(500);

/// Share of the time allowed, in percent, after which the requests that are
/// left are answered; above five sixths of it, up to which operators expect
/// upstreams to be waited for.
constexpr int RequestDeadlinePercent = 87;

/// Share of the time allowed, in percent, at which the process ends with
/// answers that could not be written.
constexpr int ExitDeadlinePercent = 92;

} // namespace

core::Result<DrainPlan> DrainPlan::create(core::Duration allowed) {
  if (allowed <= core::Duration::zero())
    return core::fail(core::ErrorKind::InvalidArgument,
                      "the time allowed for a stop is not positive");
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
