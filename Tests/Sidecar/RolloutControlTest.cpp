#include "Sidecar/RolloutControl.h"

#include <string>

#include "Codec/FleetRecords.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::sidecar;
using rollouts::Phase;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint Start{seconds(100)};
constexpr char Key[] = "state/s";

/// A log of the state of roll-outs with one record.
struct StatusLog {
  std::optional<std::string> Value;
  core::Offset End = 7;
  /// Another node appends between the read and the append of this one.
  bool IsRaced = false;
  int Appends = 0;

  feed::KeyedLog log() {
    feed::KeyedLog out;
    out.ReadNewest = [this](std::string_view, const feed::PageHandler &onPage) {
      feed::NewestPage page;
      if (Value)
        page.Records.push_back({Key, Value});
      page.End = End;
      if (IsRaced)
        ++End;
      onPage(std::move(page));
    };
    out.Append = [this](std::span<const feed::KeyedRecord> records,
                        std::optional<core::Offset> at,
                        const feed::AppendHandler &onAppended) {
      if (at != End) {
        onAppended(core::fail(core::ErrorKind::Conflict));
        return;
      }
      ++Appends;
      Value = records.front().Value;
      onAppended(feed::Appended{End++, 0});
    };
    return out;
  }
};

ControlCodec makeCodec() {
  ControlCodec out;
  out.EncodeRolloutStatus = [](const rollouts::Rollout &it) {
    const bool isFinal = rollouts::isFinal(it.Current);
    return feed::KeyedRecord{
        Key, it.Request.Version + " " +
                 (isFinal ? std::string(rollouts::toString(it.Current))
                          : "running")};
  };
  return out;
}

std::shared_ptr<logging::Logger> makeLog() {
  logging::LoggerOptions options;
  options.Sink = [](std::string_view) {};
  return *logging::Logger::create(std::move(options));
}

struct StatusRow {
  const char *Name;
  std::optional<std::string> Before;
  Phase Current;
  bool IsRaced;
  const char *After;
  int Appends;
};

const StatusRow StatusRows[] = {
    {"none yet", std::nullopt, Phase::Warming, false, "v2 running", 1},
    {"the same", "v2 running", Phase::Comparing, false, "v2 running", 0},
    {"a verdict", "v2 running", Phase::Complete, false, "v2 complete", 1},
    {"a verdict of another version", "v1 complete", Phase::Comparing, false,
     "v2 running", 1},
    {"a verdict that a later node has told", "v2 rolled_back", Phase::Comparing,
     false, "v2 rolled_back", 0},
    {"another node is faster", "v2 running", Phase::Complete, true,
     "v2 running", 0},
};

} // namespace

ACACIA_TABLE_TEST(RolloutControl, TellsOperatorsTheState, StatusRows) {
  StatusLog log;
  log.Value = row.Before;
  log.IsRaced = row.IsRaced;
  RolloutControl control({"n", 1}, {0.1, 50, seconds(5)}, makeCodec(),
                         log.log(), makeLog(),
                         {[](std::string_view, std::string_view) {}, [] {}});
  holdings::FleetLedger ledger;
  holdings::NodeRecord node;
  node.Name = "n";
  node.Service = "s";
  ledger.applyNode(node, Start);
  control.setFleet(ledger, Start);
  const rollouts::Rollout decision{
      {"s", "v2", seconds(40)}, row.Current, {"v1"}, {}, {}, ""};
  control.applyDecision("s", codec::encodeRollout(decision), Start);
  control.tick(Start);
  cr_assert_eq(*log.Value, row.After, "%s: %s", row.Name, log.Value->c_str());
  cr_assert_eq(log.Appends, row.Appends, "%s", row.Name);
}
