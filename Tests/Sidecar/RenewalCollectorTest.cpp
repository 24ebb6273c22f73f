#include "Sidecar/RenewalCollector.h"

#include <optional>
#include <string>
#include <vector>

#include "Codec/FleetRecords.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::sidecar;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string encodeNode(const std::string &name) {
  holdings::NodeRecord record;
  record.Name = name;
  record.DataCentre = "dc";
  record.Service = "service";
  record.Peer = {"127.0.0.1", 1};
  record.Incarnation = 1;
  record.Sequence = 2;
  return codec::encodeNode(record);
}

struct CollectRow {
  const char *Name;
  feed::KeyedRecord Record;
  bool IsAccepted;
  /// Whether the log takes the append.
  bool IsAppended;
};

const CollectRow CollectRows[] = {
    {"a node's record", {"node/n", encodeNode("n")}, true, true},
    {"the log is unavailable", {"node/n", encodeNode("n")}, true, false},
    {"another name than in the key", {"node/m", encodeNode("n")}, false, true},
    {"not a node", {"keys/service/1", encodeNode("n")}, false, true},
    {"unreadable", {"node/n", "\xff\xff"}, false, true},
    {"removal", {"node/n", std::nullopt}, false, true},
};

} // namespace

ACACIA_TABLE_TEST(RenewalCollector, AppendsTogether, CollectRows) {
  logging::LoggerOptions options;
  options.Sink = [](std::string_view) {};
  std::vector<std::size_t> appends;
  feed::KeyedLog log;
  log.Append = [&](std::span<const feed::KeyedRecord> records,
                   std::optional<core::Offset> at,
                   const feed::AppendHandler &handler) {
    cr_assert_not(at.has_value());
    appends.push_back(records.size());
    if (row.IsAppended)
      handler(feed::Appended{5});
    else
      handler(core::fail(core::ErrorKind::LogUnavailable));
  };
  const TimePoint now = core::BootClock::now();
  RenewalCollector collector(log, *logging::Logger::create(std::move(options)),
                             now);
  int appended = 0;
  int refused = 0;
  const auto onDone = [&](std::optional<core::Duration> round) {
    ++(round ? appended : refused);
  };
  holdings::NodeRecord own;
  own.Name = "own";
  own.Peer = {"127.0.0.1", 1};
  cr_assert(collector.add({own, now, onDone}));
  cr_assert_eq(collector.accept(row.Record, onDone), row.IsAccepted, "%s",
               row.Name);
  const holdings::FleetLedger ledger;
  cr_assert_not(collector.appendDue(ledger, now + milliseconds(100)));
  cr_assert(collector.appendDue(ledger, now + milliseconds(300)));
  cr_assert_not(collector.appendDue(ledger, now + milliseconds(600)));
  const int renewals = row.IsAccepted ? 2 : 1;
  cr_assert_eq(appends.size(), 1U, "%s", row.Name);
  cr_assert_eq(appends[0], static_cast<std::size_t>(renewals), "%s", row.Name);
  cr_assert_eq(appended, row.IsAppended ? renewals : 0, "%s", row.Name);
  cr_assert_eq(refused, row.IsAppended ? 0 : renewals, "%s", row.Name);
}
