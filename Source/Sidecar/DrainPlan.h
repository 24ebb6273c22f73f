/// \file
/// The sequence of steps for a graceful shutdown.

#ifndef ACACIAROAD_SIDECAR_DRAINPLAN_H
#define ACACIAROAD_SIDECAR_DRAINPLAN_H

#include <cstdint>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::sidecar {

/// What a draining node does next.
enum class DrainStep : std::uint8_t {
  /// Accepts requests until clients have seen its health checks fail.
  Serve,
  /// Refuses new requests and waits for open responses to be written.
  Refuse,
  /// Answers the remaining requests with errors.
  FailRequests,
  /// Accepts no more connections; existing ones are still served.
  Close,
  /// Ends the process.
  Stop,
};

/// Work and connections that a draining node still has open.
enum class DrainLoad : std::uint8_t {
  /// Unanswered requests, or responses that are still being written.
  Requests,
  /// Only idle connections from other nodes, which may still send requests.
  Connections,
  Nothing,
};

/// Decides when each step is due. Requests that are open at the request
/// deadline are failed once before the process ends, even if the deadline is
/// noticed late. Does no I/O; not thread-safe.
class DrainPlan {
public:
  /// \p allowed is the time from the stop signal until the process is killed.
  /// Fails with InvalidArgument unless it is positive.
  static core::Result<DrainPlan> create(core::Duration allowed);

  /// Returns the step that is due. \p age is the time since the stop signal.
  DrainStep next(core::Duration age, DrainLoad load);

  /// Time from the stop signal until the remaining requests are failed.
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
