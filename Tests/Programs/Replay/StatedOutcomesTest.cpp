#include "Programs/Replay/StatedOutcomes.h"

#include <fstream>
#include <iterator>

#include "Support/Table.h"

using namespace acaciaroad::replay;

namespace {

struct FileRow {
  const char *Text;
  bool IsValid;
  std::size_t Judges;
};

const FileRow FileRows[] = {
    {"", true, 0},
    {"clock = \"boot\"\n[cold_start]\n[not_run]\n", true, 2},
    {"[sole_owner]\ntolerance_s = 0.01\n", true, 1},
    {"[account_rate]\ntolerance_requests = 0\n"
     "accounts.x = { rate_per_second = 5, burst = 5 }\n",
     true, 1},
    {"clock = \"sun\"\n", false, 0},
    {"[sole_owner]\n", false, 0},
    {"[sole_owner]\ntolerance_s = -1\n", false, 0},
    {"[sole_owner]\ntolerance_s = 1\nextra = 1\n", false, 0},
    {"[account_rate]\ntolerance_requests = 0\naccounts.x = 5\n", false, 0},
    {"[runs_once]\nclasses = \"book\"\n", false, 0},
    {"[fairness]\n", false, 0},
    {"[", false, 0},
};

struct TimestampRow {
  const char *Text;
  std::int64_t Nanoseconds;
};

const TimestampRow TimestampRows[] = {
    {"1970-01-01T00:00:01.250Z", 1'250'000'000},
    {"2026-12-04T11:00:00.000Z", 1'796'382'000'000'000'000},
    {"2026-12-04T11:00:00Z", -1},
    {"2026-12-04 11:00:00.000Z", -1},
    {"2026-12-04T1x:00:00.000Z", -1},
    {"", -1},
};

} // namespace

ACACIA_TABLE_TEST(StatedOutcomesTest, parses, FileRows) {
  const auto outcomes = StatedOutcomes::parse(row.Text);
  cr_assert_eq(outcomes.has_value(), row.IsValid, "%s", row.Text);
  if (outcomes)
    cr_assert_eq(outcomes->Judges.size(), row.Judges, "%s", row.Text);
}

ACACIA_TABLE_TEST(TraceTest, parsesTimestamps, TimestampRows) {
  cr_assert_eq(parseTimestamp(row.Text), row.Nanoseconds, "%s", row.Text);
}

Test(TraceTest, mergesFilesByTimeAndCountsWhatItSkips) {
  const std::vector<std::string> texts = {
      "{\"ts\":\"1970-01-01T00:00:02.000Z\",\"event\":\"b\"}\nnot json\n{}\n",
      "{\"ts\":\"1970-01-01T00:00:01.000Z\",\"event\":\"a\"}"};
  const Trace trace = readTrace(texts, TraceClock::Wall);
  cr_assert_eq(trace.Events.size(), 2U);
  cr_assert(trace.Events[0].Event == "a");
  cr_assert_eq(trace.SkippedLines, 2U);
}

Test(StatedOutcomesTest, exampleIsValid) {
  std::ifstream file(ACACIA_SOURCE_DIR "/examples/outcomes.toml");
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto outcomes = StatedOutcomes::parse(text);
  cr_assert(outcomes.has_value());
  cr_assert_eq(outcomes->Judges.size(), 8U);
}
