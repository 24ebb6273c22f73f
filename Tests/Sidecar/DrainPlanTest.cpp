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
    {"clients have not seen it yet", 6000, 2000, DrainLoad::Nothing,
     DrainStep::Serve},
    {"nothing is open", 6000, 2300, DrainLoad::Nothing, DrainStep::Close},
    {"a request is open", 6000, 2300, DrainLoad::Requests, DrainStep::Refuse},
    {"another node may send an order", 6000, 2700, DrainLoad::Connections,
     DrainStep::Refuse},
    {"another node has been silent", 6000, 2800, DrainLoad::Connections,
     DrainStep::Close},
    {"five sixths are not over", 6000, 5000, DrainLoad::Requests,
     DrainStep::Refuse},
    {"no answer in time", 6000, 5300, DrainLoad::Requests,
     DrainStep::FailRequests},
    {"the answers have gone out", 6000, 5300, DrainLoad::Nothing,
     DrainStep::Close},
    {"little time is allowed", 2000, 900, DrainLoad::Nothing, DrainStep::Serve},
    {"little time is allowed, a request is open", 2000, 1600,
     DrainLoad::Requests, DrainStep::Refuse},
    {"little time is allowed, no answer in time", 2000, 1800,
     DrainLoad::Requests, DrainStep::FailRequests},
    {"a look that comes late concludes first", 6000, 7000, DrainLoad::Requests,
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

// What has been connected until it closes may bring requests.
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
