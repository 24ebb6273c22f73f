#include "Logging/Logger.h"

#include <future>
#include <string>
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

} // namespace

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
