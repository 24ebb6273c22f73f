#include "Support/Table.h"
#include "Upstream/UpstreamModel.h"

using namespace acaciaroad;
using namespace acaciaroad::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t Slots = 12;
constexpr core::Duration Deadline = seconds(1);

UpstreamTraits traits(std::uint32_t orders, core::Duration time, double factor,
                      core::Duration service = milliseconds(4),
                      bool isExponential = true) {
  UpstreamTraits out;
  out.IsExponential = isExponential;
  out.WarmAfterOrders = orders;
  out.WarmAfter = time;
  out.ColdFactor = factor;
  out.Service = service;
  return out;
}

struct RampRow {
  const char *Name;
  UpstreamTraits Traits;
  /// Whether the upstream is announced as warm although it is cold.
  bool AnnouncesWarm;
  /// Allowed overloads per thousand orders. Not 0 where widely varying service
  /// times make the ramp misjudge some steps.
  std::uint32_t OverloadPermille;
  std::uint64_t Seed;
};

const RampRow RampRows[] = {
    {"constant service time", traits(0, seconds(10), 5, milliseconds(4), false),
     false, 0, 1},
    {"constant service time, warms up with work",
     traits(4000, {}, 5, milliseconds(4), false), true, 0, 1},
    {"warms up with time", traits(0, seconds(10), 5), false, 0, 1},
    {"announced as warm", traits(0, seconds(10), 5), true, 0, 2},
    {"warms up with work", traits(4000, {}, 5), true, 40, 3},
    {"slow service", traits(0, seconds(20), 4, milliseconds(30)), true, 0, 4},
    {"low capacity at normal speed", traits(0, seconds(8), 1), true, 20, 5},
    {"very slow start", traits(0, seconds(30), 8), true, 40, 6},
    {"very long start", traits(0, seconds(60), 3), true, 40, 7},
};

/// Offers twice the load that the warm upstream can serve.
void overload(AdmissionDriver &driver, Random &random,
              const UpstreamTraits &traits, core::TimePoint end) {
  const double perSecond =
      2.0 * Slots * 1e9 / static_cast<double>(traits.Service.count());
  driver.stream(random, "a", perSecond, Deadline, end);
}

struct RestartRow {
  const char *Name;
  UpstreamTraits Traits;
  std::uint64_t Seed;
};

const RestartRow RestartRows[] = {
    {"warms up with time", traits(0, seconds(10), 8), 1},
    {"warms up with work", traits(4000, {}, 8), 2},
    {"slow service", traits(0, seconds(20), 8, milliseconds(30)), 3},
};

} // namespace

// The ramp must reach the slots without exceeding the capacity of the cold
// upstream, also if it is announced as warm.
ACACIA_TABLE_TEST(ColdStartTest, staysWithinCapacity, RampRows) {
  EventLoop loop;
  Random random(row.Seed);
  UpstreamModel model(loop, random, row.Traits);
  AdmissionDriver driver(loop, model);
  driver.announce(Slots, 1, !row.AnnouncesWarm);
  const core::TimePoint end = loop.now() + seconds(120);
  overload(driver, random, row.Traits, end);
  while (loop.now() < end && driver.Admission->isCold())
    loop.runUntil(loop.now() + milliseconds(50));
  cr_assert(!driver.Admission->isCold(), "%s: still cold after 120 s",
            row.Name);
  const std::uint32_t sent = driver.Tallies["a"].Served;
  cr_assert_leq(model.Overloads * 1000, row.OverloadPermille * sent,
                "%s: %u overloads of %u orders", row.Name, model.Overloads,
                sent);
  cr_assert_eq(driver.StartedBeyondLimit, 0, "%s: orders beyond the limit",
               row.Name);
}

// An upstream that restarts without an announcement must be detected as cold by
// its slow answers.
ACACIA_TABLE_TEST(ColdStartTest, detectsUnannouncedRestart, RestartRows) {
  EventLoop loop;
  Random random(row.Seed);
  UpstreamModel model(loop, random, row.Traits);
  model.warmUp();
  AdmissionDriver driver(loop, model);
  driver.announce(Slots);
  overload(driver, random, row.Traits, loop.now() + seconds(200));
  loop.runUntil(loop.now() + seconds(60));
  cr_assert(!driver.Admission->isCold(), "%s: still cold before the restart",
            row.Name);
  model.restart();
  model.Overloads = 0;
  // The orders in flight at the restart, and those sent until enough answers
  // were slow, run against the cold upstream.
  const core::Duration cold = row.Traits.Service * 8;
  loop.runUntil(loop.now() + 2 * cold * Slots);
  cr_assert(driver.Admission->isCold(), "%s: restart not detected", row.Name);
  cr_assert_leq(model.Overloads, 3 * Slots, "%s: %u overloads before detection",
                row.Name, model.Overloads);
  loop.runUntil(loop.now() + 2 * cold * Slots);
  model.Overloads = 0;
  loop.runUntil(loop.now() + seconds(60));
  cr_assert_eq(model.Overloads, 0, "%s: %u overloads after detection", row.Name,
               model.Overloads);
}
