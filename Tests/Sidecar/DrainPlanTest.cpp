#include "Sidecar/DrainPlan.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::sidecar;
using std::chrono::milliseconds;

namespace {

struct StepRow {
  const char *Name;
  int AllowedMs;
  int AgeMs;
  DrainLoad Load;
  DrainStep Step;
};

const StepRow StepRows[] = {
    {"health checks not seen failing yet", 6000, 2000, DrainLoad::Nothing,
     DrainStep::Serve},
    {"nothing open", 6000, 2300, DrainLoad::Nothing, DrainStep::Close},
    {"open request", 6000, 2300, DrainLoad::Requests, DrainStep::Refuse},
    {"open peer connection", 6000, 2700, DrainLoad::Connections,
     DrainStep::Refuse},
    {"peer connection open past the timeout", 6000, 2800,
     DrainLoad::Connections, DrainStep::Close},
    {"before five sixths of the drain time", 6000, 5000, DrainLoad::Requests,
     DrainStep::Refuse},
    {"request open at the deadline", 6000, 5300, DrainLoad::Requests,
     DrainStep::FailRequests},
    {"all answered at the deadline", 6000, 5300, DrainLoad::Nothing,
     DrainStep::Close},
    {"short drain time", 2000, 900, DrainLoad::Nothing, DrainStep::Serve},
    {"short drain time, open request", 2000, 1600, DrainLoad::Requests,
     DrainStep::Refuse},
    {"short drain time, request open at the deadline", 2000, 1800,
     DrainLoad::Requests, DrainStep::FailRequests},
    {"late check still fails requests first", 6000, 7000, DrainLoad::Requests,
     DrainStep::FailRequests},
};

} // namespace

ACACIA_TABLE_TEST(DrainPlan, Steps, StepRows) {
  auto plan = DrainPlan::create(milliseconds(row.AllowedMs));
  cr_assert(plan.has_value());
  cr_assert(plan->next(milliseconds(row.AgeMs), row.Load) == row.Step, "%s",
            row.Name);
}

Test(DrainPlan, FailsRequestsOnce) {
  auto plan = *DrainPlan::create(milliseconds(6000));
  cr_assert(plan.next(milliseconds(5300), DrainLoad::Requests) ==
            DrainStep::FailRequests);
  cr_assert(plan.next(milliseconds(5350), DrainLoad::Requests) ==
            DrainStep::Refuse);
  cr_assert(plan.next(milliseconds(5600), DrainLoad::Requests) ==
            DrainStep::Stop);
}

// A connection that was accepted just before closing may still bring requests.
Test(DrainPlan, ClosesBeforeStopping) {
  auto plan = *DrainPlan::create(milliseconds(6000));
  cr_assert(plan.next(milliseconds(2300), DrainLoad::Nothing) ==
            DrainStep::Close);
  cr_assert(plan.next(milliseconds(2350), DrainLoad::Requests) ==
            DrainStep::Refuse);
  cr_assert(plan.next(milliseconds(2400), DrainLoad::Nothing) ==
            DrainStep::Stop);
}

Test(DrainPlan, RejectsZeroDrainTime) {
  cr_assert_not(DrainPlan::create(core::Duration::zero()).has_value());
}
