#include "Requests/AttemptPlan.h"

namespace acaciaroad::requests {

using configuration::Execution;
using core::ErrorKind;

core::Result<AttemptPlan> AttemptPlan::create(const RequestPolicy &policy,
                                              core::TimePoint deadline,
                                              core::TimePoint now) {
  if (deadline <= now)
    return core::fail(ErrorKind::DeadlineTooShort);
  return AttemptPlan(policy, deadline);
}

AttemptPlan::AttemptPlan(const RequestPolicy &policy, core::TimePoint deadline)
    : Policy(policy), Deadline(deadline) {}

void AttemptPlan::started() {
  ++Attempts;
  ++InFlight;
}

void AttemptPlan::cancelLastAttempt() {
  --Attempts;
  --InFlight;
}

Step AttemptPlan::ended(AttemptOutcome outcome, ErrorKind reason,
                        RetryBudget &budget, core::TimePoint now) {
  if (InFlight > 0)
    --InFlight;
  if (IsFinished)
    return {NextStep::Ignore, reason};
  if (outcome == AttemptOutcome::Answered) {
    IsFinished = true;
    return {NextStep::Answer, reason};
  }
  const bool wasSent = outcome == AttemptOutcome::SentNoAnswer;
  IsOutcomeUnknown = IsOutcomeUnknown || wasSent;
  if (wasSent && Policy.Runs == Execution::AtMostOnce)
    return fail(reason);
  if (InFlight > 0)
    return {NextStep::Wait, reason};
  if ((wasSent || isRetryable(reason)) && tryAcquireRetry(budget, now))
    return {NextStep::Retry, reason};
  return fail(reason);
}

bool AttemptPlan::tryAcquireRetry(RetryBudget &budget, core::TimePoint now) {
  return mayStart(now) && budget.tryAcquire(now);
}

bool AttemptPlan::tryAcquireHedge(RetryBudget &budget, core::TimePoint now) {
  return Policy.Runs == Execution::Idempotent && InFlight == 1 &&
         mayStart(now) && budget.tryAcquire(now);
}

bool AttemptPlan::mayStart(core::TimePoint now) const {
  return !IsFinished && Attempts < Policy.MaxAttempts && now < Deadline;
}

Step AttemptPlan::giveUp(ErrorKind reason) {
  if (IsFinished)
    return {NextStep::Ignore, reason};
  // Attempts in flight may already have been sent.
  IsOutcomeUnknown = IsOutcomeUnknown || InFlight > 0;
  return fail(reason);
}

Step AttemptPlan::fail(ErrorKind reason) {
  IsFinished = true;
  const bool saysNotRun = core::answerFor(reason).HasRan == core::Ran::No;
  if (IsOutcomeUnknown && saysNotRun)
    return {NextStep::Fail, ErrorKind::OutcomeUnknown};
  return {NextStep::Fail, reason};
}

} // namespace acaciaroad::requests
