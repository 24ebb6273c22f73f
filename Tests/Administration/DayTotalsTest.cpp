#include "Administration/DayTotals.h"

#include <numeric>

#include "Administration/TotalsCollector.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::administration;
using namespace std::chrono_literals;

namespace {

const DayRange Day = parseDay("2026-12-04").value();

TotalsRecord record(std::uint64_t instance, std::uint64_t sequence,
                    std::uint64_t served, std::int64_t minute = 0) {
  TotalsRecord out;
  out.Instance = core::InstanceId{instance};
  out.Sequence = sequence;
  out.StartUnixMilliseconds = Day.BeginUnixMilliseconds + minute * 60'000;
  out.Interval = 60s;
  out.Lines = {{"x", "next", served, {}, {}, 0, 0}};
  return out;
}

struct FoldRow {
  const char *Name;
  std::vector<TotalsRecord> Records;
  std::uint64_t Served;
};

const FoldRow FoldRows[] = {
    {"sums over instances", {record(1, 1, 10), record(2, 1, 5)}, 15},
    {"a copy counts once",
     {record(1, 1, 10), record(1, 2, 1), record(1, 1, 10)},
     11},
    {"out of order", {record(1, 3, 1), record(1, 1, 1), record(1, 2, 1)}, 3},
    {"a replaced instance starts again at 1",
     {record(1, 7, 10), record(9, 1, 5)},
     15},
    {"other days are left out",
     {record(1, 1, 1, -1), record(1, 2, 1, 0), record(1, 3, 1, 1439),
      record(1, 4, 1, 1440)},
     2},
    {"sequence 0 is not one", {record(1, 0, 1)}, 0},
    {"a copy older than the window is taken for a copy",
     {record(1, 1, 1), record(1, 100, 1), record(1, 1, 1), record(1, 2, 1)},
     2},
};

} // namespace

ACACIA_TABLE_TEST(DayTotalsTest, folds, FoldRows) {
  DayTotals totals(Day);
  for (const TotalsRecord &it : row.Records)
    totals.fold(it);
  const auto &rows = totals.rows();
  const std::uint64_t served = std::accumulate(
      rows.begin(), rows.end(), std::uint64_t{0},
      [](std::uint64_t sum, const auto &it) { return sum + it.second.Served; });
  cr_assert_eq(served, row.Served, "%s", row.Name);
}

namespace {

struct DayRow {
  const char *Text;
  std::int64_t Begin;
};

const DayRow DayRows[] = {
    {"1970-01-01", 0},   {"2024-02-29", 1'709'164'800'000},
    {"2023-02-29", -1},  {"2026-13-01", -1},
    {"2026-00-01", -1},  {"2026-1-01", -1},
    {"2026-01-01x", -1}, {"", -1},
    {"2026/01/01", -1},  {"-026-01-01", -1},
};

} // namespace

ACACIA_TABLE_TEST(DayTotalsTest, parsesDays, DayRows) {
  const auto range = parseDay(row.Text);
  cr_assert_eq(range.has_value(), row.Begin >= 0, "%s", row.Text);
  if (range)
    cr_assert_eq(range->BeginUnixMilliseconds, row.Begin);
}

Test(DayTotalsTest, writesCsv) {
  TotalsRecord it = record(1, 1, 99);
  it.Lines[0].Latency = {{LatencyHistogram::bucketOf(1ms), 98},
                         {LatencyHistogram::bucketOf(8ms), 1}};
  it.Lines[0].Refused = {{core::ErrorKind::RateExceeded, 4}};
  it.Lines[0].BytesOut = 12;
  DayTotals totals(Day);
  totals.fold(it);
  const std::string csv = totals.toCsv("2026-12-04");
  cr_assert(csv.starts_with("day,account,class,served,refused,malformed_"));
  cr_assert(csv.find("\r\n2026-12-04,x,next,99,4,0,") != std::string::npos);
  cr_assert(csv.ends_with(",1.024,8.192,0,12\r\n"), "%s", csv.c_str());
}

namespace {

struct LatencyRow {
  core::Duration Latency;
  std::uint32_t Bucket;
};

const LatencyRow LatencyRows[] = {
    {0ns, 0},   {64us, 0},      {64'001ns, 1},
    {128us, 8}, {128'001ns, 9}, {24h, LatencyHistogram::BucketCountMax - 1},
};

} // namespace

ACACIA_TABLE_TEST(LatencyHistogramTest, putsLatencyInBucket, LatencyRows) {
  cr_assert_eq(LatencyHistogram::bucketOf(row.Latency), row.Bucket);
}

Test(LatencyHistogramTest, quantileIsAtMostNinePercentHigh) {
  LatencyHistogram histogram;
  for (int n = 1; n <= 1000; ++n)
    histogram.add(n * 100us);
  for (double it : {0.5, 0.9, 0.99, 1.0}) {
    const double exact = it * 100e6;
    const auto got = static_cast<double>(histogram.quantile(it).count());
    cr_assert(got >= exact && got <= exact * 1.0906, "%f: %f", it, got);
  }
}

Test(TotalsCollectorTest, cutsEachOutcomeOnce) {
  TotalsCollector collector(core::InstanceId{1}, Day.BeginUnixMilliseconds);
  DayTotals totals(Day);
  const std::int64_t begin = Day.BeginUnixMilliseconds;
  cr_assert(!collector.cut(begin + 1000).has_value());
  for (std::int64_t n = 0; n < 3; ++n) {
    collector.add({"x", "next", std::nullopt, 5ms, 10, 20});
    collector.add({"x", "next", core::ErrorKind::QueueFull, 5ms, 0, 0});
    const auto cut = collector.cut(begin + 2000 + n);
    cr_assert(totals.fold(*cut));
    cr_assert(!totals.fold(*cut));
  }
  const TotalsSum &sum = totals.rows().begin()->second;
  cr_assert_eq(sum.Served, 3U);
  cr_assert_eq(sum.refusedTotal(), 3U);
  cr_assert_eq(sum.Latency.total(), 3U);
  cr_assert_eq(sum.BytesOut, 60U);
}

Test(TotalsCollectorTest, linesAreBounded) {
  TotalsCollector collector(core::InstanceId{1}, 0);
  for (std::size_t n = 0; n < 3 * TotalsCollector::MaxLines; ++n)
    collector.add(
        {"account-" + std::to_string(n), "next", std::nullopt, 1ms, 0, 0});
  const auto cut = collector.cut(1);
  cr_assert_eq(cut->Lines.size(), TotalsCollector::MaxLines + 1);
  std::uint64_t served = 0;
  for (const TotalsLine &it : cut->Lines)
    served += it.Served;
  cr_assert_eq(served, 3 * TotalsCollector::MaxLines);
}
