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
  bool IsIdle;
  DrainStep Step;
};

const StepRow StepRows[] = {
    {"clients have not seen it yet", 6000, 2000, true, DrainStep::Serve},
    {"nothing is open", 6000, 2300, true, DrainStep::Stop},
    {"a request is open", 6000, 2300, false, DrainStep::Refuse},
    {"five sixths are not over", 6000, 5000, false, DrainStep::Refuse},
    {"no answer in time", 6000, 5300, false, DrainStep::Conclude},
    {"the answers have gone out", 6000, 5300, true, DrainStep::Stop},
    {"little time is allowed", 2000, 900, true, DrainStep::Serve},
    {"little time is allowed, a request is open", 2000, 1600, false,
     DrainStep::Refuse},
    {"little time is allowed, no answer in time", 2000, 1800, false,
     DrainStep::Conclude},
    {"a look that comes late concludes first", 6000, 7000, false,
     DrainStep::Conclude},
};

} // namespace

ACACIA_TABLE_TEST(DrainPlan, Steps, StepRows) {
  auto plan = DrainPlan::create(milliseconds(row.AllowedMs));
  cr_assert(plan.has_value());
  cr_assert(plan->next(milliseconds(row.AgeMs), row.IsIdle) == row.Step, "%s",
            row.Name);
}

Test(DrainPlan, ConcludesOnce) {
  auto plan = *DrainPlan::create(milliseconds(6000));
  cr_assert(plan.next(milliseconds(5300), false) == DrainStep::Conclude);
  cr_assert(plan.next(milliseconds(5350), false) == DrainStep::Refuse);
  cr_assert(plan.next(milliseconds(5600), false) == DrainStep::Stop);
}

Test(DrainPlan, NeedsTime) {
  cr_assert_not(DrainPlan::create(core::Duration::zero()).has_value());
}
