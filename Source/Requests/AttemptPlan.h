/// \file
/// The attempts at one request.

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
  /// Gives the caller the answer of the attempt that just ended.
  Answer,
  /// Sends another attempt.
  Retry,
  /// Waits for the attempts that are under way.
  Wait,
  /// Gives the caller the step's error.
  Fail,
  /// The caller has its answer already; the outcome changes nothing.
  Ignore,
};

/// The next step, and the error if it is Fail.
struct Step {
  NextStep Next = NextStep::Ignore;
  core::ErrorKind Error = core::ErrorKind::Internal;
};

/// Decides what follows each attempt's outcome, and which error tells the
/// caller the truth in the end: "not run" only if every attempt was refused as
/// not run or never sent.
class AttemptPlan {
public:
  /// Fails with DeadlineTooShort if the deadline has passed.
  static core::Result<AttemptPlan> create(const RequestPolicy &policy,
                                          core::TimePoint deadline,
                                          core::TimePoint now);

  /// An attempt is about to be sent.
  void started();

  /// An attempt ended; \p reason is of a refusal, or of a missing answer.
  Step ended(AttemptOutcome outcome, core::ErrorKind reason,
             RetryBudget &budget, core::TimePoint now);

  /// The attempt that was started last met no upstream and does not count.
  void cancelLastAttempt();

  /// Returns whether a hedge may be sent now, and takes it from the budget.
  bool tryAcquireHedge(RetryBudget &budget, core::TimePoint now);

  /// Ends the request with attempts still under way; \p reason is told if they
  /// don't leave the outcome unknown.
  Step giveUp(core::ErrorKind reason);

  /// The deadline passed.
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
  /// An order was sent and its outcome is not known.
  bool IsOutcomeUnknown = false;
  bool IsFinished = false;
};

} // namespace acaciaroad::requests

#endif
