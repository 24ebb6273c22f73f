#include "Requests/AttemptPlan.h"

#include <vector>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::requests;
using configuration::Execution;
using core::ErrorKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint Start(seconds(10));

struct Ended {
  AttemptOutcome Outcome;
  ErrorKind Reason;
};

struct PlanRow {
  const char *Name;
  Execution Runs;
  /// Attempts in flight before the first of them ends.
  int AtOnce;
  std::vector<Ended> Attempts;
  NextStep Last;
  /// The error, if the last step is Fail.
  ErrorKind Reason;
};

using O = AttemptOutcome;
using E = ErrorKind;
constexpr Execution Idempotent = Execution::Idempotent;
constexpr Execution AtMostOnce = Execution::AtMostOnce;

const PlanRow PlanRows[] = {
    {"answered", Idempotent, 1, {{O::Answered, {}}}, NextStep::Answer, {}},
    {"not sent, idempotent",
     Idempotent,
     1,
     {{O::NotSent, E::PeerUnreachable}},
     NextStep::Retry,
     {}},
    {"not sent, at most once",
     AtMostOnce,
     1,
     {{O::NotSent, E::PeerUnreachable}},
     NextStep::Retry,
     {}},
    {"refused, at most once",
     AtMostOnce,
     1,
     {{O::RefusedNotRun, E::UpstreamShedding}},
     NextStep::Retry,
     {}},
    {"no answer, idempotent",
     Idempotent,
     1,
     {{O::SentNoAnswer, E::OutcomeUnknown}},
     NextStep::Retry,
     {}},
    {"no answer, at most once",
     AtMostOnce,
     1,
     {{O::SentNoAnswer, E::PeerUnreachable}},
     NextStep::Fail,
     E::OutcomeUnknown},
    {"refused, then no answer, at most once",
     AtMostOnce,
     1,
     {{O::RefusedNotRun, E::QueueFull}, {O::SentNoAnswer, E::OutcomeUnknown}},
     NextStep::Fail,
     E::OutcomeUnknown},
    {"all attempts refused",
     Idempotent,
     1,
     {{O::RefusedNotRun, E::QueueFull},
      {O::RefusedNotRun, E::QueueFull},
      {O::RefusedNotRun, E::QueueFull}},
     NextStep::Fail,
     E::QueueFull},
    {"refusals after a missing answer leave the outcome unknown",
     Idempotent,
     1,
     {{O::SentNoAnswer, E::AnswerIncomplete},
      {O::RefusedNotRun, E::QueueFull},
      {O::RefusedNotRun, E::QueueFull}},
     NextStep::Fail,
     E::OutcomeUnknown},
    {"a refusal that is not retryable",
     Idempotent,
     1,
     {{O::RefusedNotRun, E::RateExceeded}},
     NextStep::Fail,
     E::RateExceeded},
    {"duplicate request",
     AtMostOnce,
     1,
     {{O::RefusedNotRun, E::DuplicateRequest}},
     NextStep::Fail,
     E::DuplicateRequest},
    {"a hedge is in flight",
     Idempotent,
     2,
     {{O::SentNoAnswer, E::OutcomeUnknown}},
     NextStep::Wait,
     {}},
    {"the hedge answers",
     Idempotent,
     2,
     {{O::SentNoAnswer, E::OutcomeUnknown}, {O::Answered, {}}},
     NextStep::Answer,
     {}},
    {"the second answer is ignored",
     Idempotent,
     2,
     {{O::Answered, {}}, {O::Answered, {}}},
     NextStep::Ignore,
     {}},
};

RequestPolicy policy(Execution runs) {
  configuration::WorkClass it;
  it.ExecutionMode = runs;
  return RequestPolicy::of(it).value();
}

struct PolicyRow {
  const char *Name;
  std::uint32_t AvailabilityPpm;
  int DeadlineMilliseconds;
  bool IsValid;
  double Ratio;
};

const PolicyRow PolicyRows[] = {
    {"two nines", 990'000, 100, true, 0.1},
    {"three nines", 999'000, 100, true, 0.15},
    {"five nines, capped", 999'990, 100, true, 0.2},
    {"100 percent", 1'000'000, 100, true, 0.2},
    {"0 percent", 0, 100, true, 0.05},
    {"above 100 percent", 1'000'001, 100, false, 0},
    {"no deadline", 999'000, 0, false, 0},
};

} // namespace

ACACIA_TABLE_TEST(AttemptPlanTest, stepFollowsOutcome, PlanRows) {
  RetryBudget budget = RetryBudget::create(1, Start).value();
  AttemptPlan plan =
      AttemptPlan::create(policy(row.Runs), Start + seconds(1), Start).value();
  for (int n = 0; n < row.AtOnce; ++n)
    plan.started();
  Step step;
  int underWay = row.AtOnce;
  for (const Ended &it : row.Attempts) {
    if (underWay == 0) {
      cr_assert(step.Next == NextStep::Retry, "%s: no retry", row.Name);
      plan.started();
      ++underWay;
    }
    step = plan.ended(it.Outcome, it.Reason, budget, Start);
    --underWay;
  }
  cr_assert(step.Next == row.Last, "%s: step %d", row.Name,
            static_cast<int>(step.Next));
  if (step.Next == NextStep::Fail)
    cr_assert(step.Error == row.Reason, "%s: error %d", row.Name,
              static_cast<int>(step.Error));
}

ACACIA_TABLE_TEST(AttemptPlanTest, policyFollowsTargets, PolicyRows) {
  configuration::WorkClass it;
  it.AvailabilityPpm = row.AvailabilityPpm;
  it.Deadline = milliseconds(row.DeadlineMilliseconds);
  const auto policy = RequestPolicy::of(it);
  cr_assert_eq(policy.has_value(), row.IsValid, "%s", row.Name);
  if (policy)
    cr_assert_float_eq(policy->RetryRatio, row.Ratio, 1e-6, "%s: %f", row.Name,
                       policy->RetryRatio);
}

Test(AttemptPlanTest, timeoutWithAnOrderUnderWayIsUnknown) {
  RetryBudget budget = RetryBudget::create(1, Start).value();
  AttemptPlan plan =
      AttemptPlan::create(policy(Idempotent), Start + seconds(1), Start)
          .value();
  cr_assert(plan.timedOut().Error == E::DeadlineTooShort);
  plan = AttemptPlan::create(policy(Idempotent), Start + seconds(1), Start)
             .value();
  plan.started();
  cr_assert(plan.timedOut().Error == E::OutcomeUnknown);
  cr_assert(plan.ended(O::Answered, {}, budget, Start).Next ==
            NextStep::Ignore);
  cr_assert(!AttemptPlan::create(policy(Idempotent), Start, Start));
}

Test(AttemptPlanTest, stopTellsNotRunUnlessAnOrderIsUnderWay) {
  for (const bool isUnderWay : {false, true}) {
    AttemptPlan plan =
        AttemptPlan::create(policy(AtMostOnce), Start + seconds(1), Start)
            .value();
    plan.started();
    if (!isUnderWay)
      plan.cancelLastAttempt();
    cr_assert(plan.giveUp(E::NodeStopping).Error ==
              (isUnderWay ? E::OutcomeUnknown : E::NodeStopping));
  }
}

Test(AttemptPlanTest, onlyIdempotentClassesAreHedged) {
  for (const Execution runs : {Idempotent, AtMostOnce}) {
    RetryBudget budget = RetryBudget::create(1, Start).value();
    AttemptPlan plan =
        AttemptPlan::create(policy(runs), Start + seconds(1), Start).value();
    cr_assert(!plan.tryAcquireHedge(budget, Start));
    plan.started();
    cr_assert(!plan.tryAcquireHedge(budget, Start + seconds(1)));
    cr_assert_eq(plan.tryAcquireHedge(budget, Start), runs == Idempotent);
  }
}
