#include "Codec/FleetRecords.h"

#include <cstdint>
#include <limits>
#include <string>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::codec;

namespace {

holdings::NodeRecord goodNode() {
  return {"n", "dc", "s",      {"10.0.0.1", 80},
          1,   2,    {"u", 3}, holdings::UpstreamState::Ready,
          18};
}

struct NodeRow {
  const char *Name;
  void (*Change)(holdings::NodeRecord &);
  bool IsGood;
};

using Node = holdings::NodeRecord;
const NodeRow NodeRows[] = {
    {"as a node writes it", [](Node &) {}, true},
    {"no upstream yet",
     [](Node &it) {
       it.Process = {};
       it.State = holdings::UpstreamState::Absent;
     },
     true},
    {"no port", [](Node &it) { it.Peer.Port = 0; }, false},
    {"any address", [](Node &it) { it.Peer.Host = "0.0.0.0"; }, false},
    {"all addresses", [](Node &it) { it.Peer.Host = "255.255.255.255"; },
     false},
    {"any address of IPv6", [](Node &it) { it.Peer.Host = "::"; }, false},
    {"the most slots", [](Node &it) { it.Slots = holdings::MaxSlots; }, true},
    {"too many slots", [](Node &it) { it.Slots = holdings::MaxSlots + 1; },
     false},
    {"slots of 2^32-1", [](Node &it) { it.Slots = ~0U; }, false},
    {"a negative birth", [](Node &it) { it.Process.StartUnixMs = -1; }, false},
    {"a birth of 2^63-1",
     [](Node &it) {
       it.Process.StartUnixMs = std::numeric_limits<std::int64_t>::max();
     },
     false},
    {"no name", [](Node &it) { it.Name.clear(); }, false},
    {"no data centre", [](Node &it) { it.DataCentre.clear(); }, false},
    {"no service", [](Node &it) { it.Service.clear(); }, false},
    {"no incarnation", [](Node &it) { it.Incarnation = 0; }, false},
    {"no sequence", [](Node &it) { it.Sequence = 0; }, false},
    {"ready, but no upstream", [](Node &it) { it.Process.Id.clear(); }, false},
    {"leaving, but no upstream",
     [](Node &it) {
       it.Process.Id.clear();
       it.State = holdings::UpstreamState::Leaving;
     },
     false},
    {"an unknown state",
     [](Node &it) { it.State = static_cast<holdings::UpstreamState>(3); },
     false},
    {"a record of an earlier release, without a generation",
     [](Node &it) { it.Generation = 0; }, true},
    {"a name that isn't text", [](Node &it) { it.Name = "\xff"; }, false},
    {"an id that isn't text", [](Node &it) { it.Process.Id = "\xff"; }, false},
};

struct HoldingRow {
  const char *Name;
  holdings::Holding Row;
  bool IsGood;
};

const HoldingRow HoldingRows[] = {
    {"as a node writes it", {{0, 1023}, "n", {"u", 1}, 7, "5c"}, true},
    {"the newest record may name itself", {{0, 1}, "n", {"u", 1}, 9, ""}, true},
    {"a token that the log hasn't reached",
     {{0, 1}, "n", {"u", 1}, 10, ""},
     false},
    {"a token of 2^64-1",
     {{0, 1}, "n", {"u", 1}, std::numeric_limits<std::uint64_t>::max(), ""},
     false},
    {"a negative birth", {{0, 1}, "n", {"u", -1}, 7, ""}, false},
    {"a birth of 2^63-1",
     {{0, 1}, "n", {"u", std::numeric_limits<std::int64_t>::max()}, 7, ""},
     false},
    {"no node", {{0, 1}, "", {"u", 1}, 7, ""}, false},
    {"no upstream", {{0, 1}, "n", {"", 1}, 7, ""}, false},
    {"no token", {{0, 1}, "n", {"u", 1}, 0, ""}, false},
    {"keys of another part", {{0, 1024}, "n", {"u", 1}, 7, ""}, false},
    {"keys out of range", {{0, 4294967295U}, "n", {"u", 1}, 7, ""}, false},
    {"a handover that isn't text", {{0, 1}, "n", {"u", 1}, 7, "\xff"}, false},
};

struct HintRow {
  const char *Name;
  holdings::NodeLoad Load;
  bool IsGood;
};

constexpr double Infinity = std::numeric_limits<double>::infinity();
const HintRow HintRows[] = {
    {"as a node sends it", {0.5, 0.01}, true},
    {"no load", {0, 0}, true},
    {"a negative load", {-1, 0.01}, false},
    {"a load without bound", {Infinity, 0.01}, false},
    {"a cost without bound", {0.5, Infinity}, false},
    {"a cost whose inverse overflows", {0.5, 1e-320}, false},
    {"no number", {std::numeric_limits<double>::quiet_NaN(), 0.01}, false},
};

struct NoticeRow {
  const char *Name;
  holdings::ReleaseNotice Notice;
  bool IsGood;
};

const NoticeRow NoticeRows[] = {
    {"as a node sends it",
     {"n", 1, {{{{0, 9}, "n", {"u", 1}, 7, ""}, ""}}},
     true},
    {"no node", {"", 1, {{{{0, 9}, "n", {"u", 1}, 7, ""}, ""}}}, false},
    {"no incarnation", {"n", 0, {{{{0, 9}, "n", {"u", 1}, 7, ""}, ""}}}, false},
    {"keys without a node",
     {"n", 1, {{{{0, 9}, "", {"u", 1}, 7, ""}, ""}}},
     false},
    {"keys without an upstream",
     {"n", 1, {{{{0, 9}, "n", {"", 1}, 7, ""}, ""}}},
     false},
    {"keys without a token",
     {"n", 1, {{{{0, 9}, "n", {"u", 1}, 0, ""}, ""}}},
     false},
    {"a negative birth",
     {"n", 1, {{{{0, 9}, "n", {"u", -1}, 7, ""}, ""}}},
     false},
};

struct CreditRow {
  const char *Name;
  const char *Account;
  core::Endpoint ReplyTo;
  bool IsGood;
};

const CreditRow CreditRows[] = {
    {"as a node sends it", "a", {"10.0.0.1", 80}, true},
    {"no account", "", {"10.0.0.1", 80}, false},
    {"no port", "a", {"10.0.0.1", 0}, false},
    {"all addresses", "a", {"255.255.255.255", 80}, false},
};

struct KeyRow {
  const char *Name;
  const char *Text;
  FleetKey Key;
};

const KeyRow KeyRows[] = {
    {"node", "node/n", {FleetKey::Kind::Node, "n"}},
    {"holdings of era 0", "keys/s/7", {FleetKey::Kind::Holdings, "s", 7, 0}},
    {"holdings of a later era",
     "keys.12/s/7",
     {FleetKey::Kind::Holdings, "s", 7, 12}},
    {"a service that looks like an era",
     "keys/s.3/4/7",
     {FleetKey::Kind::Holdings, "s.3/4", 7, 0}},
    {"claim", "claim.2/n", {FleetKey::Kind::Claim, "n", 0, 2}},
    {"an era that isn't a number", "keys.x/s/7", {}},
    {"no era", "keys./s/7", {}},
    {"part out of range", "keys.1/s/64", {}},
    {"another prefix", "keys2/s/7", {}},
    {"no slash", "claim.2", {}},
};

rollouts::Rollout goodRollout() {
  return {{"s", "v2", std::chrono::seconds(40)},
          rollouts::Phase::Comparing,
          {"v1"},
          {"v0"},
          std::chrono::seconds(5),
          "warm"};
}

struct RolloutRow {
  const char *Name;
  void (*Change)(rollouts::Rollout &);
  bool IsGood;
};

using Rollout = rollouts::Rollout;
const RolloutRow RolloutRows[] = {
    {"as a node writes it", [](Rollout &) {}, true},
    {"another service", [](Rollout &it) { it.Request.Service = "t"; }, false},
    {"an unknown phase",
     [](Rollout &it) {
       it.Current = static_cast<rollouts::Phase>(rollouts::PhaseCount);
     },
     false},
    {"a negative age",
     [](Rollout &it) { it.PhaseBegan = -std::chrono::seconds(1); }, false},
    {"an age that overflows",
     [](Rollout &it) { it.PhaseBegan = core::Duration::max(); }, false},
    {"a time without bound",
     [](Rollout &it) { it.Request.Length = core::Duration::max(); }, false},
    {"a version that isn't text",
     [](Rollout &it) { it.Request.Version = "\xff"; }, false},
};

rollouts::CountReport goodReport() {
  rollouts::CountReport out{"n", 7, "s", "v2", std::chrono::seconds(9), {{}}};
  out.Routes[0].Route = "r";
  out.Routes[0].Former.add(false, std::chrono::milliseconds(100));
  out.Routes[0].Next.add(true, std::chrono::hours(1));
  return out;
}

struct ReportRow {
  const char *Name;
  void (*Change)(rollouts::CountReport &);
  bool IsGood;
};

using Report = rollouts::CountReport;
const ReportRow ReportRows[] = {
    {"as a node sends it", [](Report &) {}, true},
    {"no routes yet", [](Report &it) { it.Routes.clear(); }, true},
    {"a negative age", [](Report &it) { it.Age = core::Duration(-1); }, false},
    {"an age that overflows",
     [](Report &it) { it.Age = core::Duration::max(); }, false},
    {"more failures than answers",
     [](Report &it) { it.Routes[0].Next.Failures = 2; }, false},
    {"a count whose sum overflows",
     [](Report &it) { it.Routes[0].Former.Latency[3] = ~std::uint64_t{0}; },
     false},
};

/// End of the log.
constexpr core::Offset End = 9;

} // namespace

ACACIA_TABLE_TEST(FleetRecords, DecodesNodes, NodeRows) {
  silenceLibrary();
  holdings::NodeRecord record = goodNode();
  row.Change(record);
  cr_assert_eq(decodeNode(encodeNode(record)).has_value(), row.IsGood, "%s",
               row.Name);
}

ACACIA_TABLE_TEST(FleetRecords, DecodesRollouts, RolloutRows) {
  silenceLibrary();
  rollouts::Rollout record = goodRollout();
  row.Change(record);
  const auto decoded = decodeRollout(encodeRollout(record), "s");
  cr_assert_eq(decoded.has_value(), row.IsGood, "%s", row.Name);
  if (decoded)
    cr_assert(*decoded == record, "%s", row.Name);
}

ACACIA_TABLE_TEST(FleetRecords, DecodesReports, ReportRows) {
  silenceLibrary();
  rollouts::CountReport report = goodReport();
  row.Change(report);
  const auto decoded = decodeDatagram(encodeDatagram(report));
  cr_assert_eq(decoded.has_value(), row.IsGood, "%s", row.Name);
  if (decoded)
    cr_assert(std::get<rollouts::CountReport>(*decoded) == report, "%s",
              row.Name);
}

// Records of earlier releases have no version.
Test(FleetRecords, KeepTheVersionOfANode) {
  holdings::NodeRecord record = goodNode();
  cr_assert_eq(decodeNode(encodeNode(record))->Version, "");
  record.Version = "v2";
  cr_assert_eq(decodeNode(encodeNode(record))->Version, "v2");
}

ACACIA_TABLE_TEST(FleetRecords, DecodesHoldings, HoldingRows) {
  silenceLibrary();
  const auto part = decodeHoldings(encodeHoldings({{row.Row}}), 0,
                                   holdings::makeToken(0, End));
  cr_assert_eq(part.has_value(), row.IsGood, "%s", row.Name);
}

ACACIA_TABLE_TEST(FleetRecords, DecodesClaims, HoldingRows) {
  silenceLibrary();
  const holdings::HoldingClaim claim{"n", "s", {row.Row}};
  const auto read =
      decodeClaim(encodeClaim(claim), "n", holdings::makeToken(0, End));
  // Unlike a part, a claim may name all keys.
  const bool isGood = row.IsGood || row.Row.Keys.To == 1024;
  cr_assert_eq(read.has_value(), isGood, "%s", row.Name);
  cr_assert(!isGood || *read == claim, "%s", row.Name);
}

ACACIA_TABLE_TEST(FleetRecords, ParsesKeys, KeyRows) {
  const FleetKey key = parseFleetKey(row.Text);
  cr_assert(key.What == row.Key.What && key.Name == row.Key.Name &&
                key.Part == row.Key.Part && key.Era == row.Key.Era,
            "%s", row.Name);
  if (key.What == FleetKey::Kind::Holdings)
    cr_assert_eq(holdingsKey(key.Era, key.Name, key.Part), row.Text);
  if (key.What == FleetKey::Kind::Claim)
    cr_assert_eq(claimKey(key.Era, key.Name), row.Text);
}

ACACIA_TABLE_TEST(FleetRecords, DecodesHints, HintRows) {
  const auto bytes = encodeDatagram(FleetHint{"n", 9, row.Load});
  cr_assert_eq(decodeDatagram(bytes).has_value(), row.IsGood, "%s", row.Name);
}

ACACIA_TABLE_TEST(FleetRecords, DecodesNotices, NoticeRows) {
  const auto bytes = encodeDatagram(row.Notice);
  cr_assert_eq(decodeDatagram(bytes).has_value(), row.IsGood, "%s", row.Name);
}

Test(FleetRecords, RefusesAHintWithoutANode) {
  const auto bytes = encodeDatagram(FleetHint{"", 9, {0.5, 0.01}});
  cr_assert_not(decodeDatagram(bytes).has_value());
}

ACACIA_TABLE_TEST(FleetRecords, DecodesCredit, CreditRows) {
  const auto bytes = encodeCredit({row.Account, row.ReplyTo, 1, 2});
  cr_assert_eq(decodeCredit(bytes).has_value(), row.IsGood, "%s", row.Name);
}
