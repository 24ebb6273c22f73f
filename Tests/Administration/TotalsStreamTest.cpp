#include "Administration/TotalsStream.h"

#include "Codec/LogCodec.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::administration;

namespace {

constexpr std::int64_t MinuteMs = 60'000;

const DayRange Day = parseDay("2026-12-04").value();

/// A stream of one instance with a record each minute.
struct FakeStream {
  core::Offset First = 0;
  /// Start of the first record, in minutes before the day.
  std::int64_t LeadMinutes = 0;
  std::size_t Records = 0;
  /// Every n-th entry is not one of totals.
  std::size_t ForeignEvery = 1'000'000;
  std::size_t Reads = 0;

  platform::LogRecord at(core::Offset offset) const {
    if (offset % ForeignEvery == ForeignEvery - 1)
      return {offset, "not an entry"};
    TotalsRecord record;
    record.Instance = core::InstanceId{1};
    record.Sequence = offset - First + 1;
    record.StartUnixMilliseconds =
        Day.BeginUnixMilliseconds +
        (static_cast<std::int64_t>(offset - First) - LeadMinutes) * MinuteMs;
    record.Lines = {{"x", "next", 1, {}, {}, 0, 0}};
    return {offset, codec::encode(record)};
  }

  TotalsStreamHooks hooks() {
    TotalsStreamHooks out;
    const core::Offset next = First + Records;
    out.Bounds = [this, next]() -> core::Result<platform::LogBounds> {
      return platform::LogBounds{First, next};
    };
    out.Read = [this,
                next](core::Offset from,
                      std::size_t limit) -> core::Result<platform::LogBatch> {
      ++Reads;
      platform::LogBatch batch;
      for (core::Offset n = from; n < next && batch.Records.size() < limit; ++n)
        batch.Records.push_back(at(n));
      batch.Next = from + batch.Records.size();
      batch.First = First;
      return batch;
    };
    return out;
  }
};

struct StreamRow {
  const char *Name;
  FakeStream Stream;
  std::uint64_t Served;
};

const StreamRow StreamRows[] = {
    {"empty", {}, 0},
    {"the day alone", {0, 0, 1440}, 1440},
    {"the day in the middle of three, some of it trimmed",
     {7, 1440, 4320},
     1440},
    {"retention begins within the day", {500, -720, 3000}, 720},
    {"before the day", {0, 5000, 1440}, 0},
    {"after the day", {0, -9000, 1440}, 0},
    {"foreign entries", {0, 0, 1440, 2}, 720},
};

} // namespace

ACACIA_TABLE_TEST(TotalsStreamTest, readsDay, StreamRows) {
  FakeStream stream = row.Stream;
  const auto totals = TotalsStream(stream.hooks()).readDay(Day);
  cr_assert(totals.has_value(), "%s", row.Name);
  cr_assert_eq(totals->recordCount(), row.Served, "%s: %zu", row.Name,
               static_cast<std::size_t>(totals->recordCount()));
}

Test(TotalsStreamTest, costDoesNotGrowWithRetention) {
  FakeStream stream{0, 400'000, 800'000};
  cr_assert(TotalsStream(stream.hooks()).readDay(Day).has_value());
  cr_assert_lt(stream.Reads, 40U);
}

Test(TotalsStreamTest, failsWithTheLog) {
  TotalsStreamHooks hooks = FakeStream{0, 0, 1440}.hooks();
  hooks.Bounds = []() -> core::Result<platform::LogBounds> {
    return core::fail(core::ErrorKind::LogUnavailable);
  };
  const auto totals = TotalsStream(hooks).readDay(Day);
  cr_assert(!totals.has_value());
  cr_assert(totals.error().Kind == core::ErrorKind::LogUnavailable);
}
