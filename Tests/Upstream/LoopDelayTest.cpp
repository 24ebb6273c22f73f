#include "Upstream/LoopDelay.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::upstream;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct SampleRow {
  const char *Name;
  std::vector<int> DelaysMs;
  int ExpectedMs;
};

const SampleRow SampleRows[] = {
    {"nothing yet", {}, 0},
    {"on time", {0, 0, 0, 0, 0}, 0},
    {"early", {-5, -5, -5, -5}, 0},
    {"one pause", {0, 0, 0, 5000}, 0},
    {"one pause, then on time", {0, 5000, 0, 0}, 0},
    {"late twice", {0, 0, 60, 90}, 20},
    {"late all the time", {60, 60, 60, 60}, 60},
    {"on time again", {60, 60, 60, 60, 0, 0, 0}, 0},
};

/// A node whose loop takes in requests at its usual load, at a lower speed for
/// six seconds.
struct SpeedRow {
  const char *Name;
  /// Processor time that the requests need, and that refusing them needs, as
  /// parts of the usual speed.
  double Load;
  double RefusedLoad;
  /// Speed within the six seconds.
  double Speed;
  /// Longest delay of the loop.
  core::Duration MostDelay;
  /// Bounds for the share of refused requests within the six seconds.
  double LeastRefused;
  double MostRefused;
};

const SpeedRow SpeedRows[] = {
    {"usual speed", 0.4, 0.05, 1, milliseconds(0), 0, 0},
    {"half speed", 0.4, 0.05, 0.5, milliseconds(0), 0, 0},
    {"half speed at a high load", 0.8, 0.1, 0.5, milliseconds(450), 0.3, 0.6},
    {"a fifth", 0.4, 0.05, 0.2, milliseconds(450), 0.4, 0.7},
    {"a tenth at a high load", 0.8, 0.05, 0.1, milliseconds(1200), 0.8, 1},
};

} // namespace

ACACIA_TABLE_TEST(LoopDelay, FollowsWhatLasts, SampleRows) {
  LoopDelay delay;
  core::TimePoint now{seconds(1000)};
  for (const int it : row.DelaysMs) {
    now += milliseconds(50);
    delay.timerRan(now - milliseconds(it), now);
  }
  cr_assert(delay.expected() == milliseconds(row.ExpectedMs), "%s: %lld",
            row.Name,
            static_cast<long long>(delay.expected() / milliseconds(1)));
}

// Without a bound the delay would grow by a second a second at a fifth of the
// speed.
ACACIA_TABLE_TEST(LoopDelay, BoundsABacklog, SpeedRows) {
  constexpr milliseconds Step(20);
  constexpr milliseconds TimeLeft(200);
  constexpr seconds Slow(6);
  LoopDelay delay;
  core::TimePoint now{seconds(1000)};
  const core::TimePoint from = now + seconds(2);
  core::Duration backlog{};
  core::Duration most{};
  int refused = 0;
  int all = 0;
  for (; now < from + Slow + seconds(3); now += Step) {
    const bool isSlow = now >= from && now < from + Slow;
    const bool isRefused = delay.expected() > TimeLeft;
    const double work =
        (isRefused ? row.RefusedLoad : row.Load) / (isSlow ? row.Speed : 1);
    backlog = std::max<core::Duration>(
        core::Duration{},
        backlog + std::chrono::duration_cast<core::Duration>(Step * work) -
            Step);
    delay.timerRan(now, now + backlog);
    most = std::max(most, backlog);
    if (!isSlow)
      continue;
    ++all;
    refused += isRefused ? 1 : 0;
  }
  const double share = static_cast<double>(refused) / all;
  cr_assert(most <= row.MostDelay, "%s: %lld ms", row.Name,
            static_cast<long long>(most / milliseconds(1)));
  cr_assert(share >= row.LeastRefused && share <= row.MostRefused, "%s: %f",
            row.Name, share);
  cr_assert(delay.expected() == core::Duration{}, "%s", row.Name);
}
