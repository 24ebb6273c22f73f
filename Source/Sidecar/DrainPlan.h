/// \file
/// The steps by which a node stops.

#ifndef ACACIAROAD_SIDECAR_DRAINPLAN_H
#define ACACIAROAD_SIDECAR_DRAINPLAN_H

#include <cstdint>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::sidecar {

/// What a node that was asked to stop does at a moment.
enum class DrainStep : std::uint8_t {
  /// Serves on, until its clients have seen its failing health checks.
  Serve,
  /// Refuses new requests and waits for the answers to go out.
  Refuse,
  /// Answers the requests that are left itself.
  FailRequests,
  /// Accepts no more connections; what has been connected is served.
  Close,
  /// Ends the process.
  Stop,
};

/// What a node that was asked to stop has open.
enum class DrainLoad : std::uint8_t {
  /// Requests without an answer, or answers that still go out.
  Requests,
  /// Idle connections of other nodes alone, on which an order may come.
  Connections,
  Nothing,
};

/// Decides when each step comes. Requests that are open at the conclusion are
/// concluded once, however late it is, before the process ends. Pure; the
/// caller serialises all calls.
class DrainPlan {
public:
  /// \p allowed is the time from the signal until the process is killed. Fails
  /// with InvalidArgument unless it is positive.
  static core::Result<DrainPlan> create(core::Duration allowed);

  /// Returns what to do now. \p age is the time since the signal.
  DrainStep next(core::Duration age, DrainLoad load);

  /// Time from the signal until the requests that are left are answered.
  core::Duration requestDeadline() const { return RequestDeadline; }

private:
  explicit DrainPlan(core::Duration allowed);
  bool canClose(core::Duration age, DrainLoad load) const;

  core::Duration ReadinessDelay;
  core::Duration RequestDeadline;
  core::Duration ExitDeadline;
  bool HasFailedRequests = false;
  bool HasClosed = false;
};

} // namespace acaciaroad::sidecar

#endif
