#include "Requests/HedgePolicy.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::requests;
using configuration::Execution;
using std::chrono::milliseconds;

namespace {

struct DelayRow {
  const char *Name;
  Execution Runs;
  int TargetMilliseconds;
  /// Latency of nine in ten attempts, and of the tenth.
  int TypicalMilliseconds;
  int SlowMilliseconds;
  int Samples;
  /// Bounds of the delay; 0 if there is no hedge.
  int MinDelayMilliseconds;
  int MaxDelayMilliseconds;
};

const DelayRow DelayRows[] = {
    {"delay is the slow quantile", Execution::Idempotent, 200, 10, 40, 640, 40,
     50},
    {"delay is limited by the target", Execution::Idempotent, 50, 10, 400, 640,
     37, 40},
    {"typical requests use up the target", Execution::Idempotent, 18, 10, 400,
     640, 0, 0},
    {"at most once", Execution::AtMostOnce, 200, 10, 40, 640, 0, 0},
    {"too few samples", Execution::Idempotent, 200, 10, 40, 20, 0, 0},
};

struct QuantileRow {
  const char *Name;
  std::int64_t Microseconds;
};

const QuantileRow QuantileRows[] = {{"below the first bucket", 0},
                                    {"1 us", 1},
                                    {"37 us", 37},
                                    {"1 ms", 1000},
                                    {"9 ms", 9000},
                                    {"250 ms", 250'000},
                                    {"10 s", 10'000'000},
                                    {"90 s", 90'000'000}};

} // namespace

ACACIA_TABLE_TEST(HedgePolicyTest, delayFollowsTarget, DelayRows) {
  configuration::WorkClass it;
  it.ExecutionMode = row.Runs;
  it.LatencyTarget = milliseconds(row.TargetMilliseconds);
  HedgePolicy policy(RequestPolicy::of(it).value());
  for (int n = 0; n < row.Samples; ++n)
    policy.observe(milliseconds(n % 10 == 0 ? row.SlowMilliseconds
                                            : row.TypicalMilliseconds));
  const auto delay = policy.delay();
  cr_assert_eq(delay.has_value(), row.MaxDelayMilliseconds > 0, "%s", row.Name);
  if (!delay)
    return;
  cr_assert(*delay >= milliseconds(row.MinDelayMilliseconds) &&
                *delay <= milliseconds(row.MaxDelayMilliseconds),
            "%s: %ld us", row.Name, static_cast<long>(delay->count() / 1000));
}

ACACIA_TABLE_TEST(HedgePolicyTest, quantileIsWithinAQuarter, QuantileRows) {
  LatencyQuantiles quantiles;
  const core::Duration latency = std::chrono::microseconds(row.Microseconds);
  for (int n = 0; n < 10'000; ++n)
    quantiles.observe(latency);
  const core::Duration found = quantiles.quantile(0.99);
  cr_assert(found >= latency, "%s", row.Name);
  cr_assert(found <= latency * 5 / 4 + std::chrono::microseconds(2), "%s",
            row.Name);
}
