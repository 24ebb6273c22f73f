#include "Programs/StandinUpstream/ColdStartModel.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::standinupstream;
using namespace std::chrono_literals;

namespace {

struct CapacityRow {
  std::chrono::milliseconds Elapsed;
  int Completed;
  std::uint32_t Capacity;
};

/// A cold start of 11 s to 12 slots.
const CapacityRow CapacityRows[] = {
    {0ms, 0, 1},       {0ms, 100, 1},    {11'000ms, 0, 1},   {11'000ms, 1, 1},
    {5'000ms, 100, 6}, {11'000ms, 8, 5}, {11'000ms, 22, 12}, {60'000ms, 99, 12},
};

} // namespace

ACACIA_TABLE_TEST(ColdStartModelTest, slowerOfTimeAndWorkSetsCapacity,
                  CapacityRows) {
  const core::TimePoint start(1h);
  ColdStartModel model(12, 11s, start);
  for (int n = 0; n < row.Completed; ++n)
    model.countCompleted();
  const core::TimePoint now = start + row.Elapsed;
  cr_assert_eq(model.capacity(now), row.Capacity);
  cr_assert_eq(model.isCold(now), row.Capacity < 12);
  model.restart(now);
  cr_assert_eq(model.capacity(now), 1U);
}
