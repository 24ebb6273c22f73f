#include "Platform/LogClient.h"

#include <thread>

#include "Platform/LogFixture.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::platform;
using namespace acaciaroad::standinlog;
using acaciaroad::tests::LogFixture;
using core::ErrorKind;

namespace {

struct FaultRow {
  const char *Faults;
  ErrorKind Kind;
  std::uint64_t Written;
};

const FaultRow FaultRows[] = {
    {R"({"outage":"refuse"})", ErrorKind::LogUnavailable, 0},
    {R"({"outage":"drop"})", ErrorKind::LogOutcomeUnknown, 0},
    {R"({"lose_answers":true})", ErrorKind::LogOutcomeUnknown, 1},
    {R"({"reject_rate":1.0})", ErrorKind::LogUnavailable, 0},
};

void setFaults(const LogFixture &log, std::string_view faults) {
  log.Server->setFaults(applyFaults(log.Server->faults(), faults).value());
}

struct StreamRow {
  const char *Name;
};

const StreamRow BadStreamRows[] = {{""}, {"a/b"}, {"a?b"}, {"a b"}};

struct BatchRow {
  core::Offset From;
  std::size_t Limit;
  std::size_t Count;
  core::Offset Next;
};

/// The log holds offsets 2 to 4.
const BatchRow BatchRows[] = {
    {2, 10, 3, 5}, {3, 1, 1, 4}, {5, 10, 0, 5}, {4, 10, 1, 5}};

} // namespace

ACACIA_TABLE_TEST(LogClientTest, failedAppendIsNamedTruly, FaultRows) {
  const LogFixture log;
  setFaults(log, row.Faults);
  const auto outcome = log.append("x");
  cr_assert(!outcome);
  cr_assert(outcome.error().Kind == row.Kind);
  cr_assert_eq(log.Server->stats().Appends, row.Written);
}

// A connection that has already carried answers is where a client library
// might send a request again.
ACACIA_TABLE_TEST(LogClientTest, nothingIsSentTwiceOnReuse, FaultRows) {
  const LogFixture log;
  cr_assert(log.append("first").has_value());
  setFaults(log, row.Faults);
  const auto outcome = log.append("second");
  cr_assert(outcome.error().Kind == row.Kind);
  cr_assert_eq(log.Server->stats().Appends, 1 + row.Written);
  cr_assert_eq(log.Server->stats().Rejected, 1 - row.Written);
}

ACACIA_TABLE_TEST(LogClientTest, badStreamNameIsRefused, BadStreamRows) {
  const LogFixture log;
  const auto outcome = log.Client->append(row.Name, {});
  cr_assert(outcome.error().Kind == ErrorKind::InvalidArgument);
}

ACACIA_TABLE_TEST(LogClientTest, batchHoldsWhatWasAskedFor, BatchRows) {
  LogServerOptions options;
  options.RetentionRecords = 3;
  const LogFixture log(options);
  const std::string binary("\0\xff\n", 3);
  for (int n = 0; n < 5; ++n)
    cr_assert_eq(log.append(binary).value(), static_cast<core::Offset>(n));
  const auto batch = log.Client->read("s", row.From, {}, row.Limit).value();
  cr_assert_eq(batch.Records.size(), row.Count);
  cr_assert_eq(batch.Next, row.Next);
  cr_assert_eq(batch.First, 2U);
  for (const LogRecord &it : batch.Records)
    cr_assert(it.Payload == binary);
}

Test(LogClientTest, trimmedAndMissingOffsetsAreErrors) {
  LogServerOptions options;
  options.RetentionRecords = 1;
  const LogFixture log(options);
  cr_assert(log.append("a").has_value());
  cr_assert(log.append("b").has_value());
  const auto trimmed = log.Client->read("s", 0, {}, 1);
  cr_assert(trimmed.error().Kind == ErrorKind::LogTrimmed);
  const auto bounds = log.Client->bounds("s").value();
  cr_assert(bounds == (LogBounds{1, 2}));
  const auto missing = log.Client->read("s", 3, {}, 1);
  cr_assert(missing.error().Kind == ErrorKind::CorruptMessage);
}

Test(LogClientTest, longPollEndsWithTheRecord) {
  const LogFixture log;
  std::jthread writer([&] { log.append("x").value(); });
  const auto batch =
      log.Client->read("s", 0, std::chrono::minutes(1), 10).value();
  cr_assert_eq(batch.Records.size(), 1U);
}

Test(LogClientTest, stopEndsALongPoll) {
  const LogFixture log;
  std::stop_source stop;
  std::jthread stopper([&] {
    // The read has begun when the server has counted it; either way the stop
    // must end it.
    log.append("x").value();
    stop.request_stop();
  });
  const auto batch =
      log.Client->read("s", 1, std::chrono::minutes(1), 10, stop.get_token());
  cr_assert(!batch);
}

Test(LogClientTest, closedPortMeansNotWritten) {
  LogFixture log;
  log.Server.reset();
  cr_assert(log.append("x").error().Kind == ErrorKind::LogUnavailable);
}
