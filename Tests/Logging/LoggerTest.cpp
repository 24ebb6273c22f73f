#include "Logging/Logger.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::logging;

namespace {

struct FieldRow {
  Field Given;
  const char *Json;
};

const FieldRow FieldRows[] = {
    {{"f", "plain"}, R"("plain")"},
    {{"f", "a\"b\\c\n\t\x01"}, R"("a\"b\\c\n\t\u0001")"},
    {{"f", "coração"}, R"("coração")"},
    {{"f", "\xff\xfe"}, "\"\xef\xbf\xbd\xef\xbf\xbd\""},
    {{"f", std::int64_t{-5}}, "-5"},
    {{"f", ~std::uint64_t{0}}, "18446744073709551615"},
    {{"f", 2.5}, "2.5"},
    {{"f", 0.0 / 0.0}, "null"},
    {{"f", true}, "true"},
    {{"f", 7U}, "7"},
};

std::chrono::system_clock::time_point fixedTime() {
  return std::chrono::system_clock::time_point(
      std::chrono::milliseconds(1'700'000'000'007));
}

LoggerOptions collectInto(std::vector<std::string> &lines) {
  LoggerOptions options;
  options.Instance = "n1";
  options.WallClock = fixedTime;
  options.Sink = [&lines](std::string_view it) { lines.emplace_back(it); };
  return options;
}

struct LevelRow {
  Level Threshold;
  Level Line;
  bool IsWritten;
};

const LevelRow LevelRows[] = {
    {Level::Debug, Level::Debug, true},
    {Level::Info, Level::Debug, false},
    {Level::Warning, Level::Error, true},
    {Level::Off, Level::Error, false},
};

struct PauseRow {
  std::chrono::milliseconds Pause;
  std::size_t JoinedBytes;
  Level Last;
  std::size_t Calls;
};

constexpr std::chrono::milliseconds Long = std::chrono::hours(1);

// The first line is written at once; three follow while it is, the last of them
// of the row's level.
const PauseRow PauseRows[] = {
    {std::chrono::milliseconds(0), 0, Level::Info, 4},
    {std::chrono::milliseconds(0), 4096, Level::Info, 2},
    {std::chrono::milliseconds(0), 190, Level::Info, 3},
    {Long, 4096, Level::Warning, 2},
    {Long, 4096, Level::Error, 2},
    {Long, 4096, Level::Info, 1},
};

} // namespace

ACACIA_TABLE_TEST(LoggerTest, linesAreCollected, PauseRows) {
  std::promise<void> reached;
  std::promise<void> release;
  std::vector<std::string> texts;
  std::mutex mutex;
  LoggerOptions options = collectInto(texts);
  options.Pause = row.Pause;
  options.JoinedBytes = row.JoinedBytes;
  options.Sink = [&](std::string_view it) {
    const bool isFirst = texts.empty();
    {
      const std::lock_guard lock(mutex);
      texts.emplace_back(it);
    }
    if (!isFirst)
      return;
    reached.set_value();
    release.get_future().wait();
  };
  std::size_t calls = 0;
  {
    auto logger = Logger::create(std::move(options)).value();
    logger->write(Level::Info, "first");
    reached.get_future().wait();
    for (const Level it : {Level::Info, Level::Info, row.Last})
      logger->write(it, "more");
    release.set_value();
    // What isn't urgent stays until the logger ends.
    for (int n = 0; n < 100 && calls < row.Calls; ++n) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      const std::lock_guard lock(mutex);
      calls = texts.size();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const std::lock_guard lock(mutex);
    calls = texts.size();
  }
  cr_assert_eq(calls, row.Calls, "%zu", calls);
  std::string all;
  for (const std::string &it : texts)
    all += it;
  cr_assert_eq(std::count(all.begin(), all.end(), '\n'), 4);
}

ACACIA_TABLE_TEST(LoggerTest, fieldBecomesJson, FieldRows) {
  std::vector<std::string> lines;
  {
    auto logger = Logger::create(collectInto(lines)).value();
    logger->write(Level::Info, "e", {row.Given});
  }
  cr_assert_eq(lines.size(), 1U);
  const std::string expected =
      R"({"ts":"2023-11-14T22:13:20.007Z","level":"info","event":"e",)"
      R"("instance":"n1","f":)" +
      std::string(row.Json) + "}\n";
  cr_assert_str_eq(lines[0].c_str(), expected.c_str());
  cr_assert(nlohmann::json::accept(lines[0]));
}

ACACIA_TABLE_TEST(LoggerTest, thresholdHoldsAtRunTime, LevelRows) {
  std::vector<std::string> lines;
  {
    auto logger = Logger::create(collectInto(lines)).value();
    logger->setThreshold(row.Threshold);
    logger->write(row.Line, "e");
  }
  cr_assert_eq(lines.size(), row.IsWritten ? 1U : 0U);
}

Test(LoggerTest, fullQueueDropsAndCountsWithoutBlocking) {
  std::vector<std::string> lines;
  std::promise<void> reached;
  std::promise<void> release;
  LoggerOptions options = collectInto(lines);
  options.QueueLines = 2;
  options.Sink = [&, n = 0](std::string_view it) mutable {
    if (n++ == 0) {
      reached.set_value();
      release.get_future().wait();
    }
    lines.emplace_back(it);
  };
  {
    auto logger = Logger::create(std::move(options)).value();
    logger->write(Level::Info, "first");
    reached.get_future().wait();
    for (int n = 0; n < 5; ++n)
      logger->write(Level::Info, "more");
    cr_assert_eq(logger->droppedLines(), 3U);
    release.set_value();
  }
  cr_assert_eq(lines.size(), 4U);
  const auto last = nlohmann::json::parse(lines.back());
  cr_assert(last["event"] == "log_lines_dropped");
  cr_assert(last["count"] == 3);
}
