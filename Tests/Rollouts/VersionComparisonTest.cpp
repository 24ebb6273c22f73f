#include "Rollouts/VersionComparison.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::rollouts;
using std::chrono::milliseconds;

namespace {

/// Answers of which some fail and some are slow.
struct Answers {
  int Count = 0;
  int Failures = 0;
  int Slow = 0;
};

constexpr core::Duration Usual = milliseconds(120);

AnswerCounts countsOf(const Answers &answers, core::Duration slow) {
  AnswerCounts out;
  for (int n = 0; n < answers.Count; ++n)
    out.add(n < answers.Failures,
            n >= answers.Count - answers.Slow ? slow : Usual);
  return out;
}

struct ComparisonRow {
  const char *Name;
  Answers Former;
  Answers Next;
  core::Duration Slow;
  bool IsWorse;
};

const ComparisonRow ComparisonRows[] = {
    {"alike", {900, 9, 0}, {100, 1, 0}, milliseconds(500), false},
    {"one slow request", {900, 0, 0}, {100, 0, 1}, milliseconds(9000), false},
    {"few failures", {900, 0, 0}, {100, 0, 7}, milliseconds(500), false},
    {"half fail", {900, 9, 0}, {50, 25, 0}, milliseconds(500), true},
    {"all fail", {100, 0, 0}, {20, 20, 0}, milliseconds(500), true},
    {"a tenth fails", {9000, 90, 0}, {300, 30, 0}, milliseconds(500), true},
    {"a bad minute of both",
     {900, 450, 300},
     {100, 50, 33},
     milliseconds(500),
     false},
    {"all failures in both", {900, 900, 0}, {100, 100, 0}, Usual, false},
    {"a third four times slower",
     {900, 0, 20},
     {100, 0, 33},
     milliseconds(480),
     true},
    {"a half somewhat slower",
     {900, 0, 0},
     {100, 0, 50},
     milliseconds(180),
     false},
    {"slow in both", {900, 0, 270}, {100, 0, 30}, milliseconds(480), false},
    {"better", {900, 300, 0}, {100, 0, 0}, milliseconds(480), false},
    {"nothing to compare with",
     {10, 0, 0},
     {100, 50, 0},
     milliseconds(480),
     false},
    {"no answers", {0, 0, 0}, {0, 0, 0}, milliseconds(480), false},
};

struct RouteRow {
  const char *Name;
  Answers Next[3];
  bool IsWorse;
  const char *Route;
};

const RouteRow RouteRows[] = {
    {"one route", {{300, 3, 0}, {30, 15, 0}, {300, 3, 0}}, true, "b"},
    {"a little on each", {{90, 7, 0}, {90, 7, 0}, {90, 7, 0}}, true, ""},
    {"none", {{300, 3, 0}, {30, 0, 0}, {300, 3, 0}}, false, ""},
};

struct BinRow {
  const char *Name;
  core::Duration Latency;
  std::size_t Bin;
};

const BinRow BinRows[] = {
    {"none", core::Duration(0), 0},
    {"below a millisecond", std::chrono::microseconds(999), 0},
    {"a millisecond", milliseconds(1), 1},
    {"two", milliseconds(2), 3},
    {"an hour", std::chrono::hours(1), LatencyBins - 1},
};

} // namespace

ACACIA_TABLE_TEST(VersionComparison, TellsWorseFromAlike, ComparisonRows) {
  const auto found =
      compare(countsOf(row.Former, row.Slow), countsOf(row.Next, row.Slow));
  cr_assert_eq(found.has_value(), row.IsWorse, "%s", row.Name);
}

ACACIA_TABLE_TEST(VersionComparison, JudgesRoutesByThemselves, RouteRows) {
  const char *names[] = {"a", "b", "c"};
  std::vector<RouteCounts> routes;
  for (std::size_t n = 0; n < 3; ++n)
    routes.push_back({names[n], countsOf({3000, 30, 0}, Usual),
                      countsOf(row.Next[n], Usual)});
  const auto found = compareRoutes(routes);
  cr_assert_eq(found.has_value(), row.IsWorse, "%s", row.Name);
  if (found)
    cr_assert_eq(found->Route, row.Route, "%s: %s", row.Name,
                 found->Route.c_str());
}

ACACIA_TABLE_TEST(AnswerCounts, HaveBinsOfLatency, BinRows) {
  cr_assert_eq(binOf(row.Latency), row.Bin, "%s: %zu", row.Name,
               binOf(row.Latency));
}
