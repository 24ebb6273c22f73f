#include "Feed/KeyedFeed.h"

#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Feed/RelayBuffer.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::feed;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Result of one read from the scripted log.
enum class ReadStep {
  Page,
  LastPage,
  /// Reports one record that can't be decoded.
  LastPageWithDecodeError,
  Tail,
  TailWithDecodeError,
  PartialTail,
  Trimmed,
  Unavailable,
  /// The log enters the next era before the step that follows.
  NextEra,
  /// A tail of the era before.
  TailOfEarlierEra
};

std::vector<core::Error> makeDecodeErrors(bool isOne) {
  return std::vector<core::Error>(isOne ? 1 : 0);
}

struct FeedRow {
  const char *Name;
  std::vector<ReadStep> Steps;
  /// Expected hook calls: s: snapshot, r: records, +: reachable, -:
  /// unreachable, u: a record can't be decoded, e: another era.
  const char *Calls;
};

const FeedRow FeedRows[] = {
    {"pages, then records",
     {ReadStep::Page, ReadStep::LastPage, ReadStep::Tail, ReadStep::Tail},
     "s+rr"},
    {"partial tail is held back",
     {ReadStep::LastPage, ReadStep::PartialTail, ReadStep::Tail},
     "s+r"},
    {"trimmed records restart from a snapshot",
     {ReadStep::LastPage, ReadStep::Tail, ReadStep::Trimmed, ReadStep::LastPage,
      ReadStep::Tail},
     "s+rsr"},
    {"outage after records",
     {ReadStep::LastPage, ReadStep::Tail, ReadStep::Unavailable,
      ReadStep::Unavailable, ReadStep::Tail},
     "s+r-+r"},
    {"records that can't be decoded are skipped",
     {ReadStep::LastPageWithDecodeError, ReadStep::TailWithDecodeError,
      ReadStep::Tail},
     "us+urr"},
    {"outage during the pages",
     {ReadStep::Page, ReadStep::Unavailable, ReadStep::LastPage,
      ReadStep::Tail},
     "-s+r"},
    {"another era restarts from a snapshot before its records",
     {ReadStep::LastPage, ReadStep::Tail, ReadStep::NextEra, ReadStep::Tail,
      ReadStep::LastPage, ReadStep::Tail},
     "s+resr"},
    {"two eras between two reads",
     {ReadStep::LastPage, ReadStep::Tail, ReadStep::NextEra, ReadStep::NextEra,
      ReadStep::Tail, ReadStep::LastPage, ReadStep::Tail},
     "s+resr"},
    {"another era between pages drops the first ones",
     {ReadStep::Page, ReadStep::NextEra, ReadStep::LastPage, ReadStep::LastPage,
      ReadStep::Tail},
     "es+r"},
    {"another era while a partial tail is held back",
     {ReadStep::LastPage, ReadStep::PartialTail, ReadStep::NextEra,
      ReadStep::Tail, ReadStep::LastPage, ReadStep::Tail},
     "s+esr"},
    {"a later era from the start",
     {ReadStep::NextEra, ReadStep::LastPage, ReadStep::Tail},
     "es+r"},
    {"data of an earlier era is dropped",
     {ReadStep::NextEra, ReadStep::LastPage, ReadStep::Tail,
      ReadStep::TailOfEarlierEra, ReadStep::Tail},
     "es+r-+r"},
};

/// Answers reads with scripted results and stops the loop after the last one.
class ScriptedLog {
public:
  ScriptedLog(boost::asio::io_context &loop, std::vector<ReadStep> steps)
      : Loop(loop), Steps(std::move(steps)) {}

  KeyedLog log() {
    return {
        [this](std::string_view, const PageHandler &handler) {
          const auto step = next();
          if (!step)
            return;
          if (*step == ReadStep::Unavailable)
            handler(core::fail(core::ErrorKind::LogUnavailable));
          else
            handler(NewestPage{
                {{"a", "1"}},
                *step == ReadStep::Page,
                5,
                makeDecodeErrors(*step == ReadStep::LastPageWithDecodeError),
                Era});
        },
        [this](core::Offset from, core::Duration, const TailHandler &handler) {
          const auto step = next();
          if (!step)
            return;
          if (*step == ReadStep::Unavailable)
            handler(core::fail(core::ErrorKind::LogUnavailable));
          else if (*step == ReadStep::Trimmed)
            handler(core::fail(core::ErrorKind::LogTrimmed));
          else
            handler(feed::Tail{
                {{"a", "2"}},
                from + 1,
                from + (*step == ReadStep::PartialTail ? 2U : 1U),
                {},
                makeDecodeErrors(*step == ReadStep::TailWithDecodeError),
                false,
                *step == ReadStep::TailOfEarlierEra ? Era - 1 : Era});
        },
        {}};
  }

private:
  std::optional<ReadStep> next() {
    while (Position < Steps.size() && Steps[Position] == ReadStep::NextEra) {
      ++Era;
      ++Position;
    }
    if (Position == Steps.size()) {
      Loop.stop();
      return std::nullopt;
    }
    return Steps[Position++];
  }

  boost::asio::io_context &Loop;
  std::vector<ReadStep> Steps;
  std::size_t Position = 0;
  core::LogEra Era = 0;
};

struct BufferRow {
  const char *Name;
  core::Offset From;
  /// Number of records; -1 if the buffer returns nothing.
  int Records;
  core::Offset Next;
};

// The buffer holds the records at offsets 10 to 14.
const BufferRow BufferRows[] = {
    {"from the first record", 10, 5, 15},
    {"from the middle", 13, 2, 15},
    {"at the end", 15, 0, 15},
    {"past the end", 17, 0, 17},
    {"before the first record", 9, -1, 0},
};

/// Returns records of different keys.
std::vector<KeyedRecord> makeRecords(std::size_t n) {
  std::vector<KeyedRecord> out;
  for (std::size_t it = 0; it < n; ++it)
    out.push_back({std::to_string(it), "v"});
  return out;
}

struct Added {
  /// One record for each letter, which is its key. The value is the record's
  /// number among all that are added, from 0.
  std::string Keys;
  core::Offset End;
};

struct ReplacedRow {
  const char *Name;
  /// The buffer starts at offset 10.
  std::vector<Added> Batches;
  core::Offset From;
  /// Key and value of each record that is read.
  std::string Read;
};

const ReplacedRow ReplacedRows[] = {
    {"one key", {{"aaa", 13}}, 10, "a2"},
    {"several keys", {{"abab", 14}}, 10, "a2b3"},
    {"replaced by a later read", {{"ab", 12}, {"a", 13}}, 10, "b1a2"},
    {"from behind what was replaced", {{"ab", 12}, {"a", 13}}, 12, "a2"},
    {"from between", {{"ab", 12}, {"ca", 14}}, 13, "a3"},
    {"a record that could not be decoded", {{"a", 12}, {"b", 13}}, 10, "a0b1"},
    {"fewer records than offsets, from the middle",
     {{"ab", 15}, {"c", 16}},
     13,
     "a0b1c2"},
    {"fewer records than offsets, from the end",
     {{"ab", 15}, {"c", 16}},
     15,
     "c2"},
    {"no record that could be decoded", {{"a", 11}, {"", 14}}, 11, ""},
};

} // namespace

ACACIA_TABLE_TEST(KeyedFeed, FollowsLog, FeedRows) {
  boost::asio::io_context loop;
  ScriptedLog script(loop, row.Steps);
  std::string calls;
  KeyedFeed feed(loop, script.log(), {},
                 {[&](const auto &, core::Offset, TimePoint) { calls += 's'; },
                  [&](const auto &, core::Offset, TimePoint) { calls += 'r'; },
                  [&](bool isReachable, std::string_view) {
                    calls += isReachable ? '+' : '-';
                  },
                  [&](const core::Error &) { calls += 'u'; },
                  [&](core::LogEra) { calls += 'e'; }});
  feed.start();
  loop.run();
  cr_assert_eq(calls, row.Calls, "%s: %s", row.Name, calls.c_str());
}

namespace {

struct UrgentRow {
  const char *Name;
  /// Delays the loop before `readNow` is called.
  core::Duration Delay;
};

constexpr auto UrgentPause = milliseconds(30);

const UrgentRow UrgentRows[] = {
    {"during the pause", milliseconds(0)},
    {"when the pause has ended too", 2 * UrgentPause},
};

} // namespace

// Guards against two reads in flight, if `readNow` is called in the same loop
// iteration in which the pause ends.
ACACIA_TABLE_TEST(KeyedFeed, KeepsOneReadInFlight, UrgentRows) {
  boost::asio::io_context loop;
  std::vector<TailHandler> pending;
  KeyedFeed feed(loop,
                 {[](std::string_view, const PageHandler &handler) {
                    handler(NewestPage{{{"a", "1"}}, false, 5, {}});
                  },
                  [&](core::Offset, core::Duration, TailHandler handler) {
                    pending.push_back(std::move(handler));
                  },
                  {}},
                 {core::Duration{}, UrgentPause},
                 {[](const auto &, core::Offset, TimePoint) {},
                  [](const auto &, core::Offset, TimePoint) {},
                  [](bool, std::string_view) {}, [](const core::Error &) {}});
  feed.start();
  boost::asio::steady_timer asked(loop, UrgentPause / 2);
  asked.async_wait([&](boost::system::error_code) { feed.readNow(); });
  cr_assert_eq(pending.size(), 1U, "%s", row.Name);
  std::exchange(pending, {}).front()(feed::Tail{{}, 5, 5, {}, {}});
  std::this_thread::sleep_for(row.Delay);
  loop.run_for(4 * UrgentPause);
  cr_assert_eq(pending.size(), 1U, "%s: %zu", row.Name, pending.size());
}

namespace {

struct ConfirmedRow {
  const char *Name;
  /// Time until the read is answered, and the longest wait that it asks for.
  core::Duration Answer;
  core::Duration Wait;
  bool HasRecords;
  /// Age of relayed data; nullopt if the log itself answers.
  std::optional<core::Duration> Age;
  /// When the log is known to have ended at the end that was read, from when
  /// the read was sent.
  core::Duration Confirmed;
};

const ConfirmedRow ConfirmedRows[] = {
    {"no wait", milliseconds(20), {}, false, std::nullopt, {}},
    {"no record while it waited", milliseconds(110), milliseconds(100), false,
     std::nullopt, milliseconds(98)},
    {"answered early without a record",
     milliseconds(20),
     milliseconds(100),
     false,
     std::nullopt,
     {}},
    {"a record before the wait is over",
     milliseconds(20),
     milliseconds(100),
     true,
     std::nullopt,
     {}},
    {"a record, answered late",
     milliseconds(110),
     milliseconds(100),
     true,
     std::nullopt,
     {}},
    {"relayed",
     milliseconds(20),
     {},
     false,
     milliseconds(300),
     milliseconds(-300)},
    {"relayed, answered late", milliseconds(110), milliseconds(100), false,
     milliseconds(300), milliseconds(-300)},
};

} // namespace

// Other nodes must not count data of a relay as more recent than it is, nor
// pass over a relay whose reads of the log wait for records.
ACACIA_TABLE_TEST(KeyedFeed, TellsWhenTheLogWasRead, ConfirmedRows) {
  boost::asio::io_context loop;
  boost::asio::steady_timer timer(loop);
  TimePoint sent;
  std::optional<core::Duration> confirmed;
  KeyedFeed feed(
      loop,
      {[](std::string_view, const PageHandler &handler) {
         handler(NewestPage{{{"a", "1"}}, false, 5, {}});
       },
       [&](core::Offset from, core::Duration, const TailHandler &handler) {
         sent = core::BootClock::now();
         timer.expires_after(row.Answer);
         timer.async_wait([&, from, handler](boost::system::error_code) {
           Tail tail{{},   from,
                     from, row.Age.value_or(core::Duration{}),
                     {},   row.Age.has_value()};
           if (row.HasRecords)
             tail = {{{"a", "2"}}, from + 1, from + 1,
                     tail.Age,     {},       tail.IsRelayed};
           handler(std::move(tail));
         });
       },
       {}},
      {row.Wait, seconds(9)},
      {[](const auto &, core::Offset, TimePoint) {},
       [&](const auto &, core::Offset, TimePoint at) {
         confirmed = at - sent;
         loop.stop();
       },
       [](bool, std::string_view) {}, [](const core::Error &) {}});
  feed.start();
  loop.run_for(seconds(2));
  cr_assert(confirmed.has_value(), "%s", row.Name);
  const core::Duration difference = *confirmed - row.Confirmed;
  cr_assert(difference <= core::Duration{} && difference > -milliseconds(5),
            "%s: %ld us", row.Name,
            static_cast<long>(difference / std::chrono::microseconds(1)));
}

namespace {

struct PauseRow {
  const char *Name;
  core::Duration MaxAge;
  /// Age of the relayed data.
  core::Duration Age;
  core::Duration Pause;
};

const PauseRow PauseRows[] = {
    {"recent data", milliseconds(400), milliseconds(50), milliseconds(200)},
    {"older data", milliseconds(400), milliseconds(300), milliseconds(100)},
    {"data that is too old", milliseconds(400), milliseconds(900), {}},
    {"no limit", core::Duration::max(), seconds(60), milliseconds(200)},
};

} // namespace

// The next read must start while there is still time to read the log itself, if
// the relay turns out to be cut off from it.
ACACIA_TABLE_TEST(KeyedFeed, ReadsBeforeDataIsTooOld, PauseRows) {
  boost::asio::io_context loop;
  std::vector<TimePoint> reads;
  KeyedFeed feed(
      loop,
      {[](std::string_view, const PageHandler &handler) {
         handler(NewestPage{{{"a", "1"}}, false, 5, {}});
       },
       [&](core::Offset from, core::Duration, const TailHandler &handler) {
         reads.push_back(core::BootClock::now());
         if (reads.size() == 2)
           loop.stop();
         else
           handler(Tail{{}, from, from, row.Age, {}, true});
       },
       {}},
      {{}, milliseconds(200), row.MaxAge},
      {[](const auto &, core::Offset, TimePoint) {},
       [](const auto &, core::Offset, TimePoint) {},
       [](bool, std::string_view) {}, [](const core::Error &) {}});
  feed.start();
  loop.run_for(seconds(2));
  cr_assert_eq(reads.size(), 2U, "%s", row.Name);
  const core::Duration pause = reads[1] - reads[0];
  cr_assert(pause >= row.Pause - milliseconds(5) &&
                pause < row.Pause + milliseconds(80),
            "%s: %ld us", row.Name,
            static_cast<long>(pause / std::chrono::microseconds(1)));
}

namespace {

struct WaitRow {
  const char *Name;
  /// When the first poll, which may wait for 200 ms, is answered.
  core::Duration Answer;
  bool HasRecords;
  /// Range of the second poll's wait.
  core::Duration MinWait;
  core::Duration MaxWait;
};

const WaitRow WaitRows[] = {
    {"no record", milliseconds(205), false, milliseconds(120),
     milliseconds(200)},
    {"a record at once", milliseconds(0), true, milliseconds(120),
     milliseconds(200)},
    {"a record after half of the wait", milliseconds(100), true,
     milliseconds(20), milliseconds(100)},
    {"a record after the wait", milliseconds(250), true, {}, {}},
};

} // namespace

// What a reader knows of the log must not get older through a record that
// arrives while it waits: other nodes would read the log themselves.
ACACIA_TABLE_TEST(KeyedFeed, WaitsLessAfterARecord, WaitRows) {
  boost::asio::io_context loop;
  boost::asio::steady_timer timer(loop);
  std::vector<core::Duration> waits;
  KeyedFeed feed(
      loop,
      {[](std::string_view, const PageHandler &handler) {
         handler(NewestPage{{{"a", "1"}}, false, 5, {}});
       },
       [&](core::Offset from, core::Duration wait, const TailHandler &handler) {
         waits.push_back(wait);
         if (waits.size() == 2) {
           loop.stop();
           return;
         }
         timer.expires_after(row.Answer);
         timer.async_wait([&, from, handler](boost::system::error_code) {
           Tail tail{{}, from, from, {}, {}};
           if (row.HasRecords)
             tail = {{{"a", "2"}}, from + 1, from + 1, {}, {}};
           handler(std::move(tail));
         });
       },
       {}},
      {milliseconds(200), {}},
      {[](const auto &, core::Offset, TimePoint) {},
       [](const auto &, core::Offset, TimePoint) {},
       [](bool, std::string_view) {}, [](const core::Error &) {}});
  feed.start();
  loop.run_for(seconds(2));
  cr_assert_eq(waits.size(), 2U, "%s", row.Name);
  cr_assert(waits[1] >= row.MinWait && waits[1] <= row.MaxWait, "%s: %ld us",
            row.Name,
            static_cast<long>(waits[1] / std::chrono::microseconds(1)));
}

// All nodes tell each other of a new era within a second.
Test(KeyedFeed, AsksTheLogOnceAboutAnEra) {
  boost::asio::io_context loop;
  core::LogEra era = 0;
  std::string calls;
  std::vector<TailHandler> pending;
  KeyedFeed feed(loop,
                 {[&](std::string_view, const PageHandler &handler) {
                    calls += 'p';
                    handler(NewestPage{{{"a", "1"}}, false, 5, {}, era});
                  },
                  [&](core::Offset, core::Duration, TailHandler handler) {
                    pending.push_back(std::move(handler));
                  },
                  {}},
                 {},
                 {[&](const auto &, core::Offset, TimePoint) { calls += 's'; },
                  [&](const auto &, core::Offset, TimePoint) { calls += 'r'; },
                  [](bool, std::string_view) {}, [](const core::Error &) {},
                  [&](core::LogEra) { calls += 'e'; }});
  feed.eraHeard(1);
  feed.start();
  era = 1;
  for (int n = 0; n < 3; ++n)
    feed.eraHeard(1);
  std::exchange(pending, {}).front()(feed::Tail{{}, 5, 5, {}, {}});
  cr_assert_eq(calls, "pspes", "%s", calls.c_str());
  feed.eraHeard(1);
  // No response of the log confirms this one.
  for (int n = 0; n < 3; ++n)
    feed.eraHeard(9);
  std::exchange(pending, {}).front()(feed::Tail{{}, 5, 5, {}, {}, false, 1});
  feed.eraHeard(9);
  std::exchange(pending, {}).front()(feed::Tail{{}, 5, 5, {}, {}, false, 1});
  cr_assert_eq(calls, "pspespsr", "%s", calls.c_str());
}

ACACIA_TABLE_TEST(RelayBuffer, Reads, BufferRows) {
  RelayBuffer buffer(1U << 20U);
  const TimePoint start{};
  buffer.reset(10, start);
  buffer.add(makeRecords(5), 15, start + seconds(1));
  const auto tail = buffer.read(row.From, start + seconds(3));
  cr_assert_eq(tail ? static_cast<int>(tail->Records.size()) : -1, row.Records,
               "%s", row.Name);
  if (!tail)
    return;
  cr_assert_eq(tail->Next, row.Next);
  cr_assert_eq(tail->Age.count(), core::Duration(seconds(2)).count());
}

Test(RelayBuffer, EvictsOldestRecords) {
  RelayBuffer buffer(2000);
  buffer.reset(0, TimePoint());
  buffer.add(makeRecords(100), 100, TimePoint());
  cr_assert_not(buffer.read(0, TimePoint()).has_value());
  cr_assert(buffer.read(95, TimePoint()).has_value());
}

ACACIA_TABLE_TEST(RelayBuffer, KeepsTheNewestOfEachKey, ReplacedRows) {
  RelayBuffer buffer(1U << 20U);
  buffer.reset(10, TimePoint());
  int number = 0;
  for (const Added &batch : row.Batches) {
    std::vector<KeyedRecord> records;
    for (const char it : batch.Keys)
      records.push_back({std::string(1, it), std::to_string(number++)});
    buffer.add(records, batch.End, TimePoint());
  }
  const auto tail = buffer.read(row.From, TimePoint());
  cr_assert(tail.has_value(), "%s", row.Name);
  std::string read;
  for (const KeyedRecord &it : tail->Records)
    read += it.Key + *it.Value;
  cr_assert_str_eq(read.c_str(), row.Read.c_str(), "%s: %s", row.Name,
                   read.c_str());
  cr_assert_eq(tail->Next, row.Batches.back().End, "%s", row.Name);
}

// A key that changes without end takes no more room than its newest record.
Test(RelayBuffer, HoldsAKeyThatChangesOften) {
  RelayBuffer buffer(2000);
  buffer.reset(0, TimePoint());
  for (core::Offset end = 1; end <= 1000; ++end) {
    const KeyedRecord record{"a", std::string(100, 'x')};
    buffer.add({&record, 1}, end, TimePoint());
  }
  const auto tail = buffer.read(0, TimePoint());
  cr_assert(tail.has_value());
  cr_assert_eq(tail->Records.size(), 1U);
}

// Offsets are given out again, so no record of the era before may be read.
Test(RelayBuffer, IsEmptyInAnotherEra) {
  RelayBuffer buffer(2000);
  buffer.reset(0, TimePoint());
  buffer.add(makeRecords(2), 2, TimePoint());
  buffer.enterEra(1);
  cr_assert_not(buffer.read(0, TimePoint()).has_value());
  cr_assert_not(buffer.read(2, TimePoint()).has_value());
  buffer.reset(1, TimePoint());
  const auto tail = buffer.read(1, TimePoint());
  cr_assert(tail.has_value());
  cr_assert_eq(tail->Era, 1U);
  cr_assert(tail->Records.empty());
}

Test(RelayBuffer, ResetsBeforeItsEnd) {
  RelayBuffer buffer(2000);
  buffer.reset(5, TimePoint());
  buffer.add(makeRecords(1), 3, TimePoint());
  cr_assert_not(buffer.read(2, TimePoint()).has_value());
  cr_assert(buffer.read(3, TimePoint())->Records.empty());
}
