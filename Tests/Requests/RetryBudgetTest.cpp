#include "Requests/RetryBudget.h"

#include "Requests/AttemptPlan.h"
#include "Support/Random.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::requests;
using namespace acaciaroad::tests;
using core::ErrorKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint Start(seconds(10));

struct OverloadRow {
  const char *Name;
  double Ratio;
  /// Requests per second, and the share of attempts that fail.
  std::uint32_t PerSecond;
  double Failing;
  /// Upper bound of extra attempts per thousand requests.
  std::uint32_t MaxExtraPermille;
  /// Lower bound of extra attempts per thousand requests.
  std::uint32_t MinExtraPermille;
};

const OverloadRow OverloadRows[] = {
    {"all attempts fail", 0.15, 1000, 1, 151, 149},
    {"half of the attempts fail", 0.15, 1000, 0.5, 151, 149},
    {"few attempts fail", 0.15, 1000, 0.05, 60, 40},
    {"ratio 0, refill only", 0, 1000, 1, 2, 0},
    {"low traffic may retry", 0, 1, 1, 1100, 900},
};

} // namespace

ACACIA_TABLE_TEST(RetryBudgetTest, extraAttemptsAreBounded, OverloadRows) {
  RetryBudget budget = RetryBudget::create(row.Ratio, Start).value();
  RequestPolicy policy;
  policy.Deadline = seconds(1);
  policy.MaxAttempts = 3;
  Random random(3);
  core::TimePoint now = Start;
  std::uint32_t requests = 0;
  std::uint32_t extra = 0;
  while (now < Start + seconds(60)) {
    now += core::Duration(seconds(1)) / row.PerSecond;
    ++requests;
    budget.onRequest(now);
    AttemptPlan plan =
        AttemptPlan::create(policy, now + seconds(1), now).value();
    plan.started();
    while (random.chance(row.Failing) &&
           plan.ended(AttemptOutcome::RefusedNotRun,
                      ErrorKind::UpstreamShedding, budget, now)
                   .Next == NextStep::Retry) {
      ++extra;
      plan.started();
    }
  }
  const std::uint32_t permille = extra * 1000 / requests;
  cr_assert(permille <= row.MaxExtraPermille &&
                permille >= row.MinExtraPermille,
            "%s: %u extra attempts per thousand requests", row.Name, permille);
}

Test(RetryBudgetTest, ratioIsChecked) {
  cr_assert(!RetryBudget::create(-0.1, Start));
  cr_assert(!RetryBudget::create(1.5, Start));
}
