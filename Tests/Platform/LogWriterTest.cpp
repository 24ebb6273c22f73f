#include "Platform/LogWriter.h"

#include <future>
#include <vector>

#include "Platform/LogFixture.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::platform;
using namespace acaciaroad::standinlog;
using acaciaroad::tests::LogFixture;
using core::ErrorKind;

namespace {

struct CountRow {
  const char *Faults;
  std::uint64_t Appended;
  std::uint64_t Failed;
  std::uint64_t Unknown;
};

const CountRow CountRows[] = {
    {"{}", 1, 0, 0},
    {R"({"outage":"refuse"})", 0, 1, 0},
    {R"({"lose_answers":true})", 0, 0, 1},
};

std::span<const std::byte> bytesOf(std::string_view text) {
  return std::as_bytes(std::span(text));
}

} // namespace

ACACIA_TABLE_TEST(LogWriterTest, outcomeIsCountedAndTold, CountRows) {
  const LogFixture log;
  log.Server->setFaults(applyFaults({}, row.Faults).value());
  const auto writer = LogWriter::create({log.Client}).value();
  std::promise<bool> told;
  cr_assert(writer->submit("s", bytesOf("x"), [&](const auto &outcome) {
    told.set_value(outcome.has_value());
  }));
  cr_assert_eq(told.get_future().get(), row.Appended == 1);
  const LogWriterCounts counts = writer->counts();
  cr_assert_eq(counts.Appended, row.Appended);
  cr_assert_eq(counts.Failed, row.Failed);
  cr_assert_eq(counts.Unknown, row.Unknown);
}

Test(LogWriterTest, fullQueueRefuses) {
  const LogFixture log;
  const auto writer = LogWriter::create({log.Client, 1}).value();
  std::promise<void> running;
  std::promise<void> release;
  cr_assert(writer->submit("s", bytesOf("a"), [&](const auto &) {
    running.set_value();
    release.get_future().wait();
  }));
  running.get_future().wait();
  cr_assert(writer->submit("s", bytesOf("b"), {}).has_value());
  const auto refused = writer->submit("s", bytesOf("c"), {});
  cr_assert(refused.error().Kind == ErrorKind::QueueFull);
  cr_assert_eq(writer->counts().Refused, 1U);
  release.set_value();
}

Test(LogWriterTest, stopTellsEachOutcomeOnce) {
  const LogFixture log;
  const auto writer = LogWriter::create({log.Client}).value();
  std::vector<int> told(20);
  for (int &it : told)
    cr_assert(writer->submit("s", bytesOf("x"), [&it](const auto &) { ++it; }));
  writer->stop();
  cr_assert(told == std::vector<int>(20, 1));
  const LogWriterCounts counts = writer->counts();
  cr_assert_eq(counts.Appended, log.Server->stats().Appends);
  cr_assert_eq(counts.Appended + counts.Failed, 20U);
  const auto late = writer->submit("s", bytesOf("x"), {});
  cr_assert(late.error().Kind == ErrorKind::LogUnavailable);
}
