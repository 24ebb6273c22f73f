/// \file
/// Retry and hedging decisions for one request.

#ifndef ACACIAROAD_REQUESTS_ATTEMPTPLAN_H
#define ACACIAROAD_REQUESTS_ATTEMPTPLAN_H

#include <cstdint>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Requests/RequestPolicy.h"
#include "Requests/RetryBudget.h"

namespace acaciaroad::requests {

/// What the entry node does next with a request.
enum class NextStep : std::uint8_t {
  /// Return the answer of the attempt that just ended to the caller.
  Answer,
  /// Send another attempt.
  Retry,
  /// Wait for the attempts that are still in flight.
  Wait,
  /// Return the step's error to the caller.
  Fail,
  /// Do nothing: the caller already has its answer.
  Ignore,
};

/// The next step. `Error` is what the caller gets if the step is Fail.
struct Step {
  NextStep Next = NextStep::Ignore;
  core::ErrorKind Error = core::ErrorKind::Internal;
};

/// Decides after each attempt whether to answer, retry, wait or fail, and which
/// error the caller gets. The error says that the request has not run only if
/// every attempt was refused as not run or never sent.
class AttemptPlan {
public:
  /// Fails with DeadlineTooShort if the deadline has passed.
  static core::Result<AttemptPlan> create(const RequestPolicy &policy,
                                          core::TimePoint deadline,
                                          core::TimePoint now);

  /// Counts an attempt that is about to be sent.
  void started();

  /// Records the outcome of an attempt and returns the next step. \p reason is
  /// why it was refused, or why its answer is missing.
  Step ended(AttemptOutcome outcome, core::ErrorKind reason,
             RetryBudget &budget, core::TimePoint now);

  /// Takes back the last `started`, for an attempt that found no upstream to be
  /// sent to.
  void cancelLastAttempt();

  /// Returns whether a hedged request may be sent now; if so, its cost is taken
  /// from \p budget.
  bool tryAcquireHedge(RetryBudget &budget, core::TimePoint now);

  /// Ends the request, also with attempts in flight. The caller gets \p reason,
  /// or OutcomeUnknown if \p reason would say that the request has not run
  /// while an attempt may have.
  Step giveUp(core::ErrorKind reason);

  /// Ends the request because its deadline has passed.
  Step timedOut() { return giveUp(core::ErrorKind::DeadlineTooShort); }

private:
  AttemptPlan(const RequestPolicy &policy, core::TimePoint deadline);
  bool tryAcquireRetry(RetryBudget &budget, core::TimePoint now);
  bool mayStart(core::TimePoint now) const;
  Step fail(core::ErrorKind reason);

  RequestPolicy Policy;
  core::TimePoint Deadline;
  std::uint32_t Attempts = 0;
  std::uint32_t InFlight = 0;
  /// An attempt was sent and its outcome is not known.
  bool IsOutcomeUnknown = false;
  bool IsFinished = false;
};

} // namespace acaciaroad::requests

#endif
