#include "Platform/LogFollower.h"

#include <vector>

#include "Platform/LogFixture.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::platform;
using namespace acaciaroad::standinlog;
using acaciaroad::tests::LogFixture;

namespace {

/// Collects what a follower tells, and lets a test wait for it.
class Collector {
public:
  LogFollowerOptions options(const LogFixture &log) {
    LogFollowerOptions out;
    out.Client = log.Client;
    out.Stream = "s";
    out.Wait = std::chrono::minutes(1);
    out.ShortestPause = std::chrono::milliseconds(1);
    out.LongestPause = std::chrono::milliseconds(4);
    out.OnBatch = [this](const LogBatch &batch) {
      const std::lock_guard lock(Mutex);
      Records.insert(Records.end(), batch.Records.begin(), batch.Records.end());
      Changed.notify_all();
    };
    out.OnTrimmed = [this](core::Offset first) {
      const std::lock_guard lock(Mutex);
      TrimmedTo.push_back(first);
      Changed.notify_all();
    };
    out.OnReachable = [this](bool isReachable) {
      const std::lock_guard lock(Mutex);
      Reachable.push_back(isReachable);
      Changed.notify_all();
    };
    return out;
  }

  template <typename Condition> void await(Condition condition) {
    std::unique_lock lock(Mutex);
    Changed.wait(lock, condition);
  }

  std::vector<LogRecord> Records;
  std::vector<core::Offset> TrimmedTo;
  std::vector<bool> Reachable;

private:
  std::mutex Mutex;
  std::condition_variable Changed;
};

struct OutageRow {
  Outage Kind;
};

const OutageRow OutageRows[] = {{Outage::Refuse}, {Outage::Drop}};

} // namespace

ACACIA_TABLE_TEST(LogFollowerTest, outageLosesNoRecord, OutageRows) {
  const LogFixture log;
  Collector seen;
  const auto follower = LogFollower::create(seen.options(log)).value();
  cr_assert(log.append("a").has_value());
  seen.await([&] { return seen.Records.size() == 1; });
  LogFaults faults;
  faults.LogOutage = row.Kind;
  log.Server->setFaults(faults);
  seen.await([&] { return seen.Reachable.size() == 2; });
  log.Server->setFaults({});
  cr_assert(log.append("b").has_value());
  seen.await([&] { return seen.Records.size() == 2; });
  follower->stop();
  cr_assert(seen.Reachable == std::vector<bool>({true, false, true}));
  cr_assert(seen.Records[1] == (LogRecord{1, "b"}));
}

Test(LogFollowerTest, trimmedRecordsAreToldAndSkipped) {
  LogServerOptions options;
  options.RetentionRecords = 1;
  const LogFixture log(options);
  for (const char *it : {"a", "b", "c"})
    cr_assert(log.append(it).has_value());
  Collector seen;
  const auto follower = LogFollower::create(seen.options(log)).value();
  seen.await([&] { return !seen.Records.empty(); });
  follower->stop();
  cr_assert(seen.TrimmedTo == std::vector<core::Offset>({2}));
  cr_assert(seen.Records == std::vector<LogRecord>({{2, "c"}}));
}

Test(LogFollowerTest, stopBreaksALongPoll) {
  const LogFixture log;
  Collector seen;
  const auto follower = LogFollower::create(seen.options(log)).value();
  seen.await([&] { return !seen.Reachable.empty(); });
  follower->stop();
  cr_assert(seen.Reachable == std::vector<bool>({true}));
}
