#include "Holdings/HoldingAgent.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "Holdings/KeyPlacement.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::holdings;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint() + seconds(100);
constexpr core::Duration HeartbeatInterval = milliseconds(1000);

HoldingAgent makeAgent() {
  return {{"node", "dc", "service", {"127.0.0.1", 1}, 1},
          {HeartbeatInterval, seconds(10)},
          Start};
}

void applyAll(FleetLedger &ledger, const std::vector<Holding> &rows) {
  for (HoldingPart &it : changedParts({}, rows))
    ledger.applyHoldings("service", std::move(it));
}

Heartbeat makeHeartbeat(const std::string &id, std::int64_t born,
                        std::uint64_t sequence,
                        UpstreamState state = UpstreamState::Ready) {
  Heartbeat out;
  out.Process = {id, born};
  out.Sequence = sequence;
  out.State = state;
  out.Slots = 12;
  return out;
}

/// Events that the agent receives, one letter each, nine tenths of a heartbeat
/// interval apart (none after r):
/// b: the next heartbeat
/// d: the next heartbeat, in state Leaving
/// o: a heartbeat with an old sequence number
/// n: a heartbeat of a new process
/// p: a heartbeat of an earlier process
/// l: an announced shutdown outside of a heartbeat
/// s: no heartbeat
/// r: a refused connection
struct StateRow {
  const char *Name;
  const char *Events;
  UpstreamState State;
};

const StateRow StateRows[] = {
    {"no event", "", UpstreamState::Absent},
    {"ready", "b", UpstreamState::Ready},
    {"leaves", "bd", UpstreamState::Leaving},
    {"ready again while leaving is ignored", "bdb", UpstreamState::Leaving},
    {"leaves without a heartbeat", "bl", UpstreamState::Leaving},
    {"leaves before the first heartbeat to a restarted node", "lb",
     UpstreamState::Leaving},
    {"a new process after leaving", "bdn", UpstreamState::Ready},
    {"a heartbeat with an old sequence number", "bdo", UpstreamState::Leaving},
    {"a heartbeat of an earlier process", "bndp", UpstreamState::Leaving},
    {"two missed heartbeats", "bss", UpstreamState::Ready},
    {"four missed heartbeats", "bssss", UpstreamState::Absent},
    {"a heartbeat after four missed ones", "bssssb", UpstreamState::Ready},
    {"refused but sends heartbeats", "br", UpstreamState::Ready},
    {"refused and misses heartbeats", "bssr", UpstreamState::Absent},
};

struct BackoffRow {
  const char *Name;
  /// Number of proposals that the log refuses, or of reads before a proposal
  /// that fail, before it accepts one.
  int Refusals;
  bool IsRead;
  /// Longest pause after the first one.
  core::Duration FirstPause;
  /// Within five seconds.
  std::size_t MaxProposals;
};

const BackoffRow BackoffRows[] = {
    {"refused once", 1, false, milliseconds(10), 2},
    {"always refused", 10'000, false, milliseconds(10), 22},
    {"unreadable once", 1, true, milliseconds(60), 2},
    {"always unreadable", 10'000, true, milliseconds(60), 22},
};

struct GoneRow {
  const char *Name;
  /// Whether the upstream sent a heartbeat before it fell silent. If not, the
  /// node has just been restarted.
  bool IsKnown;
  /// Whether the node proposes new holders itself, as its coordinator doesn't.
  bool Proposes;
  /// Start time of the process that sends a heartbeat afterwards.
  std::int64_t Born;
};

const GoneRow GoneRows[] = {
    {"known upstream, notice", true, false, 1},
    {"known upstream, proposal", true, true, 1},
    {"restarted node, notice", false, false, 1},
    {"restarted node, proposal", false, true, 1},
    {"restarted node and upstream, notice", false, false, 2},
};

/// A notice from "node" to the coordinator "a" about keys 0 to 999, which the
/// log assigns to "node" under token 7.
struct NoticeRow {
  const char *Name;
  std::uint64_t Incarnation;
  FencingToken Token;
  const char *Target;
  core::Duration Age;
  /// Holder of key 0 afterwards.
  const char *Holder;
};

const NoticeRow NoticeRows[] = {
    {"to the requested target", 1, 7, "b", milliseconds(50), "b"},
    {"without a target, to the node with the fewest keys", 1, 7, "",
     milliseconds(50), "c"},
    {"to an unknown target", 1, 7, "x", milliseconds(50), "c"},
    {"from another incarnation", 2, 7, "b", milliseconds(50), "node"},
    {"for another token", 1, 6, "b", milliseconds(50), "node"},
    {"expired notice", 1, 7, "b", milliseconds(1500), "node"},
};

/// Returns a ledger with the nodes a, b, c and "node", all ready. c has the
/// fewest keys.
FleetLedger makeLedger() {
  FleetLedger out;
  for (const char *it : {"a", "b", "c", "node"}) {
    NodeRecord record;
    record.Name = it;
    record.DataCentre = "dc";
    record.Service = "service";
    record.Incarnation = 1;
    record.Process = {std::string("u-") + it, 1};
    record.State = UpstreamState::Ready;
    out.applyNode(record, Start);
  }
  applyAll(out, {{{0, 999}, "node", {"u-node", 1}, 7, ""},
                 {{1000, 8999}, "a", {"u-a", 1}, 5, ""},
                 {{9000, 9009}, "c", {"u-c", 1}, 5, ""},
                 {{9010, KeyCount - 1}, "b", {"u-b", 1}, 5, ""}});
  out.setEnd(100);
  return out;
}

/// Returns the agent of node \p name, with a ready upstream and a lease.
HoldingAgent makeReady(const std::string &name, FleetLedger &ledger) {
  HoldingAgent out({name, "dc", "service", {"127.0.0.1", 1}, 1},
                   {HeartbeatInterval, seconds(10)}, Start);
  out.acceptHeartbeat(makeHeartbeat("u-" + name, 1, 1), Start);
  const auto record = out.nextRecord(ledger, false, Start);
  cr_assert(record.has_value());
  out.recordSent(record->Sequence, Start);
  ledger.applyNode(*record, Start);
  out.ledgerChanged(ledger, Start);
  return out;
}

} // namespace

ACACIA_TABLE_TEST(HoldingAgent, ReassignsReleasedKeys, NoticeRows) {
  FleetLedger ledger = makeLedger();
  HoldingAgent agent = makeReady("a", ledger);
  NodeRecord leaving = ledger.findMember("node")->Record;
  leaving.State = UpstreamState::Leaving;
  ledger.applyNode(leaving, Start);
  const Holding released{
      {0, 999}, "node", {"u-node", 1}, row.Token, "handover"};
  agent.receiveNotice({"node", row.Incarnation, {{released, row.Target}}},
                      Start);
  const TimePoint now = Start + row.Age;
  std::string holder = "node";
  if (const auto change = agent.nextChange(ledger, now)) {
    holder = change->Rows.at(0).Node;
    cr_assert_eq(change->Rows.at(0).Handover, "handover");
    cr_assert_eq(change->Rows.at(0).Token, 101U);
    cr_assert_eq(change->Parts.size(), 1U);
    cr_assert_eq(change->Freed.size(), 1U);
    cr_assert_eq(change->Freed[0].Row.Node, "node");
    cr_assert(change->Freed[0].Cause == FreeCause::Notice, "%s", row.Name);
  }
  cr_assert_eq(holder, row.Holder, "%s: %s", row.Name, holder.c_str());
}

// An upstream that shuts down releases its keys. Its node notifies the
// coordinator and proposes a change itself only if the coordinator doesn't.
Test(HoldingAgent, TellsTheCoordinator) {
  FleetLedger ledger = makeLedger();
  HoldingAgent agent = makeReady("node", ledger);
  TimePoint now = Start + milliseconds(10);
  agent.acceptHeartbeat(makeHeartbeat("u-node", 1, 2, UpstreamState::Leaving),
                        now);
  agent.ledgerChanged(ledger, now);
  cr_assert_not(agent.nextNotice(ledger, now).has_value());
  cr_assert(agent.grant(ledger, now)->Rows.empty());
  now += milliseconds(100);
  Heartbeat heartbeat = makeHeartbeat("u-node", 1, 3, UpstreamState::Leaving);
  heartbeat.Freed = {{{0, 999}, "handover"}};
  agent.acceptHeartbeat(heartbeat, now);
  agent.ledgerChanged(ledger, now);
  const auto notice = agent.nextNotice(ledger, now);
  cr_assert(notice.has_value());
  cr_assert_eq(notice->To, "a");
  cr_assert_eq(notice->Notice.Keys.size(), 1U);
  cr_assert_eq(notice->Notice.Keys[0].Row.Handover, "handover");
  cr_assert_not(agent.nextChange(ledger, now).has_value());
  now += seconds(1);
  cr_assert(agent.nextChange(ledger, now).has_value());
}

// A node gives up the keys of an upstream that is silent. Others may have them
// from then on, so a heartbeat that comes late doesn't get them back.
ACACIA_TABLE_TEST(HoldingAgent, KeepsWhatItGaveUpFromALateHeartbeat, GoneRows) {
  FleetLedger ledger = makeLedger();
  HoldingAgent agent({"node", "dc", "service", {"127.0.0.1", 1}, 1},
                     {HeartbeatInterval, seconds(10)}, Start);
  if (row.IsKnown)
    agent.acceptHeartbeat(makeHeartbeat("u-node", 1, 1), Start);
  const auto renew = [&](TimePoint now) {
    if (const auto record = agent.nextRecord(ledger, false, now)) {
      agent.recordSent(record->Sequence, now);
      ledger.applyNode(*record, now);
    }
    agent.ledgerChanged(ledger, now);
  };
  TimePoint now = Start;
  renew(now);
  now += seconds(4);
  renew(now);
  const auto notice = agent.nextNotice(ledger, now);
  cr_assert(notice.has_value(), "%s", row.Name);
  cr_assert_eq(notice->Notice.Keys.size(), 1U, "%s", row.Name);
  if (row.Proposes) {
    now += seconds(1);
    cr_assert(agent.nextChange(ledger, now).has_value(), "%s", row.Name);
    agent.changeCompleted(ChangeOutcome::Unknown, now);
  }
  now += milliseconds(10);
  cr_assert(agent.acceptHeartbeat(makeHeartbeat("u-node", row.Born, 2), now));
  renew(now);
  const auto grant = agent.grant(ledger, now);
  cr_assert(grant.has_value(), "%s", row.Name);
  cr_assert(grant->Rows.empty(), "%s: granted again", row.Name);
}

// Released keys that a new record assigns to the same holder are granted again.
Test(HoldingAgent, GrantsReturnedKeysAgain) {
  FleetLedger ledger = makeLedger();
  HoldingAgent agent = makeReady("node", ledger);
  TimePoint now = Start + milliseconds(10);
  ledger.setDataCentresOut({"dc"});
  agent.ledgerChanged(ledger, now);
  cr_assert_not(agent.grant(ledger, now)->Rows.empty());
  NodeRecord elsewhere = ledger.findMember("a")->Record;
  elsewhere.DataCentre = "other";
  ledger.applyNode(elsewhere, now);
  agent.ledgerChanged(ledger, now);
  cr_assert(agent.grant(ledger, now)->Rows.empty());
  ledger.setDataCentresOut({});
  applyAll(ledger, {{{0, 999}, "node", {"u-node", 1}, 101, "handover"}});
  agent.ledgerChanged(ledger, now);
  cr_assert_eq(agent.grant(ledger, now)->Rows.size(), 1U);
}

struct NewNodeRow {
  const char *Name;
  /// Node under test. The new nodes x and y have no keys.
  const char *Self;
  Key Own;
  /// Numbers of keys that move to x and y.
  Key GivenX;
  Key GivenY;
};

// The nodes a to f have 10,000 keys each and g has the rest. An equal share is
// 7,281 keys.
const NewNodeRow NewNodeRows[] = {
    {"among the four nodes with the most keys", "a", 10'000, 1820, 0},
    {"the next four give to the second new node", "e", 10'000, 0, 1820},
    {"the node with the fewest keys gives too if owners are few", "g", 5536, 0,
     1820},
};

ACACIA_TABLE_TEST(HoldingAgent, GivesKeysToNewNodes, NewNodeRows) {
  FleetLedger ledger;
  std::vector<Holding> rows;
  Key from = 0;
  for (const char *it : {"a", "b", "c", "d", "e", "f", "g", "x", "y"}) {
    const std::string name = it;
    NodeRecord record;
    record.Name = name;
    record.DataCentre = "dc";
    record.Service = "service";
    record.Incarnation = 1;
    record.Process = {"u-" + name, 1};
    record.State = UpstreamState::Ready;
    ledger.applyNode(record, Start);
    if (name >= "x")
      continue;
    const Key to = name == "g" ? KeyCount - 1 : from + 9'999;
    rows.push_back({{from, to}, name, record.Process, 5, ""});
    from = to + 1;
  }
  applyAll(ledger, rows);
  ledger.setEnd(100);
  HoldingAgent agent = makeReady(row.Self, ledger);
  TimePoint now = Start + milliseconds(10);
  agent.ledgerChanged(ledger, now);
  Key own = 0;
  const auto grant = agent.grant(ledger, now);
  cr_assert(grant.has_value());
  for (const Holding &it : grant->Rows)
    own += it.Keys.size();
  cr_assert_eq(row.Own - own, row.GivenX + row.GivenY, "%s: %u", row.Name,
               row.Own - own);
  agent.acceptHeartbeat(makeHeartbeat(std::string("u-") + row.Self, 1, 2), now);
  now += milliseconds(1000);
  agent.ledgerChanged(ledger, now);
  now += milliseconds(1000);
  const auto change = agent.nextChange(ledger, now);
  cr_assert(change.has_value(), "%s", row.Name);
  cr_assert_eq(countKeys(change->Rows, "x"), row.GivenX, "%s", row.Name);
  cr_assert_eq(countKeys(change->Rows, "y"), row.GivenY, "%s", row.Name);
}

ACACIA_TABLE_TEST(HoldingAgent, FollowsTheUpstream, StateRows) {
  HoldingAgent agent = makeAgent();
  const FleetLedger ledger;
  TimePoint now = Start;
  std::uint64_t sequence = 10;
  std::int64_t born = 5;
  for (const char *it = row.Events; *it != '\0'; ++it) {
    switch (*it) {
    case 'b':
      agent.acceptHeartbeat(makeHeartbeat("u", born, ++sequence), now);
      break;
    case 'd':
      agent.acceptHeartbeat(
          makeHeartbeat("u", born, ++sequence, UpstreamState::Leaving), now);
      break;
    case 'o':
      cr_assert_not(
          agent.acceptHeartbeat(makeHeartbeat("u", born, sequence - 1), now));
      break;
    case 'n':
      agent.acceptHeartbeat(makeHeartbeat("u", ++born, ++sequence), now);
      break;
    case 'p':
      cr_assert_not(
          agent.acceptHeartbeat(makeHeartbeat("u", born - 1, 99), now));
      break;
    case 'l':
      agent.upstreamLeaves("u", now);
      break;
    case 'r':
      agent.upstreamRefused(now);
      break;
    default:
      break;
    }
    if (*it != 'r')
      now += HeartbeatInterval * 9 / 10;
    agent.nextRecord(ledger, false, now);
  }
  cr_assert(agent.state() == row.State, "%s: %d", row.Name,
            static_cast<int>(agent.state()));
}

// Grants end within the node's lease, even if the upstream's clock is 2% slow.
Test(HoldingAgent, GrantsWithinItsLease) {
  HoldingAgent agent = makeAgent();
  FleetLedger ledger;
  agent.acceptHeartbeat(makeHeartbeat("u", 1, 1), Start);
  cr_assert_not(agent.grant(ledger, Start).has_value());
  auto record = agent.nextRecord(ledger, false, Start);
  cr_assert(record.has_value());
  agent.recordSent(record->Sequence, Start);
  ledger.applyNode(*record, Start + milliseconds(10));
  agent.ledgerChanged(ledger, Start + milliseconds(10));
  const core::Duration ages[] = {milliseconds(20), seconds(5),
                                 milliseconds(6500), seconds(7), seconds(8)};
  for (const core::Duration age : ages) {
    const auto grant = agent.grant(ledger, Start + age);
    if (age >= NodeLease)
      cr_assert_not(grant.has_value());
    if (grant)
      cr_assert_leq((age + grant->Length * 102 / 100).count(),
                    core::Duration(NodeLease).count());
  }
}

// Many nodes propose at once if their coordinator is lost. Those that the log
// refuses, or that can't read it, back off, not in step with each other.
ACACIA_TABLE_TEST(HoldingAgent, BacksOffFromRefusedProposals, BackoffRows) {
  std::vector<std::vector<core::Duration>> gaps;
  for (const std::string name : {"a", "b", "c"}) {
    FleetLedger ledger = makeLedger();
    HoldingAgent agent = makeReady(name, ledger);
    ledger.removeNode("node"); // Its keys need a new holder.
    std::vector<TimePoint> proposals;
    const TimePoint end = Start + seconds(5);
    for (TimePoint now = Start; now < end; now += milliseconds(5)) {
      for (const char *it : {"a", "b", "c"}) {
        const NodeRecord record = ledger.findMember(it)->Record;
        ledger.applyNode(record, now);
      }
      agent.ledgerChanged(ledger, now);
      if (!agent.hasChangeToPropose(ledger, now))
        continue;
      proposals.push_back(now);
      const bool isRefused = static_cast<int>(proposals.size()) <= row.Refusals;
      if (isRefused && row.IsRead) {
        agent.proposalReadFailed(now);
        continue;
      }
      cr_assert(agent.nextChange(ledger, now).has_value(), "%s", row.Name);
      agent.changeCompleted(
          isRefused ? ChangeOutcome::Refused : ChangeOutcome::Appended, now);
      if (!isRefused)
        break;
    }
    cr_assert_gt(proposals.size(), 1U, "%s", row.Name);
    cr_assert_leq(proposals.size(), row.MaxProposals, "%s: %zu", row.Name,
                  proposals.size());
    cr_assert_leq((proposals[1] - proposals[0]).count(), row.FirstPause.count(),
                  "%s", row.Name);
    gaps.emplace_back();
    for (std::size_t n = 1; n < proposals.size(); ++n)
      gaps.back().push_back(proposals[n] - proposals[n - 1]);
  }
  cr_assert(row.Refusals == 1 || (gaps[0] != gaps[1] && gaps[1] != gaps[2]),
            "%s", row.Name);
}

// A restarted node of the same name grants the same keys under the same token,
// as long as the upstream process that holds them is still running.
Test(HoldingAgent, ResumesAfterARestart) {
  HoldingAgent agent = makeAgent();
  FleetLedger ledger;
  applyAll(ledger, {{{0, KeyCount - 1}, "node", {"u", 1}, 7, ""}});
  agent.acceptHeartbeat(makeHeartbeat("u", 1, 50), Start);
  auto record = agent.nextRecord(ledger, false, Start);
  agent.recordSent(record->Sequence, Start);
  ledger.applyNode(*record, Start);
  agent.ledgerChanged(ledger, Start);
  cr_assert_not(agent.nextChange(ledger, Start).has_value());
  const auto grant = agent.grant(ledger, Start);
  cr_assert(grant.has_value());
  cr_assert_eq(grant->Rows.at(0).Token, 7U);
}

namespace {

/// The record of the node's former incarnation, whose process started at 5, and
/// the heartbeat of "u" that arrives after the restart.
struct FormerStateRow {
  const char *Name;
  UpstreamState Former;
  /// Whether the heartbeat arrives before the log is read.
  bool IsEarly;
  /// Since the log is read.
  core::Duration Age;
  std::int64_t Born;
  UpstreamState After;
  /// State in the node's record.
  UpstreamState Recorded;
};

const FormerStateRow FormerStateRows[] = {
    {"left, late heartbeat",
     UpstreamState::Leaving,
     false,
     {},
     5,
     UpstreamState::Leaving,
     UpstreamState::Leaving},
    {"left, late heartbeat before the log is read",
     UpstreamState::Leaving,
     true,
     {},
     5,
     UpstreamState::Leaving,
     UpstreamState::Leaving},
    {"left, a very late heartbeat", UpstreamState::Leaving, false, seconds(60),
     5, UpstreamState::Leaving, UpstreamState::Leaving},
    {"left, late heartbeat of an earlier process",
     UpstreamState::Leaving,
     false,
     {},
     4,
     UpstreamState::Absent,
     UpstreamState::Leaving},
    {"left, late heartbeat of an earlier process before the log is read",
     UpstreamState::Leaving,
     true,
     {},
     4,
     UpstreamState::Leaving,
     UpstreamState::Leaving},
    {"left, started again",
     UpstreamState::Leaving,
     false,
     {},
     6,
     UpstreamState::Ready,
     UpstreamState::Ready},
    {"left, started again before the log is read",
     UpstreamState::Leaving,
     true,
     {},
     6,
     UpstreamState::Ready,
     UpstreamState::Ready},
    {"left, another process long after", UpstreamState::Leaving, false,
     seconds(60), 4, UpstreamState::Ready, UpstreamState::Ready},
    {"ready, the next heartbeat",
     UpstreamState::Ready,
     false,
     {},
     5,
     UpstreamState::Ready,
     UpstreamState::Ready},
};

} // namespace

// What a node has acknowledged to an upstream that leaves binds the node's next
// incarnations, which read it in the log.
ACACIA_TABLE_TEST(HoldingAgent, RemembersALeaveFromTheLog, FormerStateRows) {
  FleetLedger ledger;
  NodeRecord former;
  former.Name = "node";
  former.Incarnation = 7;
  former.Sequence = 3;
  former.Generation = 4;
  former.Process = {"u", 5};
  former.State = row.Former;
  ledger.setEnd(10);
  TimePoint now = Start;
  std::uint64_t incarnation = 8;
  // The second restart finds only the record of the first.
  for (int n = 0; n < 2; ++n) {
    HoldingAgent agent(
        {"node", "dc", "service", {"127.0.0.1", 1}, incarnation++},
        {HeartbeatInterval, seconds(10)}, now);
    const auto beat = [&] {
      agent.acceptHeartbeat(makeHeartbeat("u", row.Born, 2), now);
    };
    const auto read = [&] {
      ledger.applyNode(n == 0 ? former : ledger.findMember("node")->Record,
                       now);
      agent.ledgerChanged(ledger, now);
    };
    if (n == 1 && row.IsEarly)
      beat();
    read();
    if (n == 0) {
      const auto record = agent.nextRecord(ledger, true, now);
      cr_assert(record.has_value(), "%s", row.Name);
      ledger.applyNode(*record, now);
      ledger.setEnd(20);
      now += seconds(1);
      continue;
    }
    now += row.Age;
    if (!row.IsEarly)
      beat();
    cr_assert(agent.state() == row.After, "%s: %d", row.Name,
              static_cast<int>(agent.state()));
    const auto record = agent.nextRecord(ledger, true, now);
    cr_assert(record.has_value(), "%s", row.Name);
    cr_assert(record->State == row.Recorded, "%s: %d", row.Name,
              static_cast<int>(record->State));
  }
}

namespace {

/// Steps of a leave, one letter each:
/// d: a heartbeat in state Leaving
/// l: the announced shutdown outside of a heartbeat
/// s: the node's record is sent
/// a: the log acknowledges it
/// r: it is read back
struct LeaveRow {
  const char *Name;
  const char *Steps;
  bool IsRecorded;
};

const LeaveRow LeaveRows[] = {
    {"not sent", "l", false},
    {"sent, outcome unknown", "ls", false},
    {"acknowledged", "lsa", true},
    {"read back", "lsr", true},
    {"a record from before the leave is acknowledged", "sla", false},
    {"a record from before the leave is read back", "slr", false},
    {"draining, not sent", "d", false},
    {"draining, acknowledged", "dsa", true},
};

} // namespace

// A leave is acknowledged to the upstream once the log has it: a node that ends
// right afterwards knows it when it is back.
ACACIA_TABLE_TEST(HoldingAgent, RecordsALeaveBeforeItsAcknowledgement,
                  LeaveRows) {
  HoldingAgent agent = makeAgent();
  FleetLedger ledger;
  agent.acceptHeartbeat(makeHeartbeat("u", 1, 1), Start);
  std::optional<NodeRecord> record;
  for (const char *it = row.Steps; *it != '\0'; ++it) {
    if (*it == 'd')
      agent.acceptHeartbeat(makeHeartbeat("u", 1, 2, UpstreamState::Leaving),
                            Start);
    if (*it == 'l')
      agent.upstreamLeaves("u", Start);
    if (*it == 's')
      record = agent.nextRecord(ledger, false, Start);
    if (*it == 'a')
      agent.recordAcknowledged(record->Sequence);
    if (*it == 'r')
      ledger.applyNode(*record, Start);
  }
  cr_assert_eq(agent.isLeaveRecorded("u", ledger), row.IsRecorded, "%s",
               row.Name);
  cr_assert(agent.isLeaveRecorded("another", ledger), "%s", row.Name);
}

namespace {

struct FormerRecordRow {
  const char *Name;
  /// Generation of a former incarnation's record that is read after the node's
  /// own one, whose generation is 8.
  std::uint64_t Generation;
  std::uint64_t Incarnation;
  /// Whether the node appends its record again at once, and the generation.
  bool IsRepeated;
  std::uint64_t Next;
};

const FormerRecordRow FormerRecordRows[] = {
    {"an earlier generation", 7, 2, false, 8},
    {"the same generation, counts as older", 8, 0, false, 8},
    {"the same generation, counts as newer", 8, 2, true, 10},
};

} // namespace

// An append of a former incarnation may be executed after the node has
// restarted. The node has to stay the one that other nodes take for live.
ACACIA_TABLE_TEST(HoldingAgent, FollowsItsFormerIncarnation, FormerRecordRows) {
  HoldingAgent agent = makeAgent();
  FleetLedger ledger;
  ledger.setEnd(7);
  const auto first = agent.nextRecord(ledger, false, Start);
  cr_assert(first.has_value());
  cr_assert_eq(first->Generation, 8U);
  ledger.applyNode(*first, Start);
  NodeRecord former = *first;
  former.Generation = row.Generation;
  former.Incarnation = row.Incarnation;
  ledger.applyNode(former, Start);
  ledger.setEnd(9);
  agent.ledgerChanged(ledger, Start);
  const auto next = agent.nextRecord(ledger, false, Start + milliseconds(10));
  cr_assert_eq(next.has_value(), row.IsRepeated, "%s", row.Name);
  if (next)
    cr_assert_eq(next->Generation, row.Next, "%s", row.Name);
  const auto renewal = agent.nextRecord(ledger, false, Start + seconds(3));
  cr_assert(renewal.has_value(), "%s", row.Name);
  ledger.applyNode(*renewal, Start + seconds(3));
  const Member *member = ledger.findMember("node");
  cr_assert_eq(member->Record.Incarnation, 1U, "%s", row.Name);
  cr_assert_eq(member->Record.Generation, row.Next, "%s", row.Name);
}

namespace {

struct CauseRow {
  const char *Name;
  /// What happens to "node", which holds keys 0 to 999, before the node "a",
  /// or "node" itself if \p IsOwn, proposes a change.
  bool IsOwn;
  bool HasRestarted;
  core::Duration Silence;
  FreeCause Cause;
};

const CauseRow CauseRows[] = {
    {"lease of the node has expired", false, false, seconds(8),
     FreeCause::NoHolder},
    {"upstream has restarted", true, true, {}, FreeCause::FormerProcess},
    {"upstream is silent", true, false, milliseconds(5500),
     FreeCause::UpstreamGone},
};

} // namespace

// The log must tell later why a node gave the keys of another one away.
ACACIA_TABLE_TEST(HoldingAgent, TellsWhyKeysAreFree, CauseRows) {
  FleetLedger ledger = makeLedger();
  HoldingAgent agent = makeReady(row.IsOwn ? "node" : "a", ledger);
  if (row.HasRestarted)
    agent.acceptHeartbeat(makeHeartbeat("u-node", 2, 1), Start);
  std::optional<HoldingChange> change;
  const TimePoint end = Start + row.Silence + seconds(2);
  for (TimePoint now = Start; now < end && !change; now += milliseconds(50)) {
    if (!row.IsOwn)
      agent.acceptHeartbeat(
          makeHeartbeat("u-a", 1,
                        static_cast<std::uint64_t>((now - Start).count() + 2)),
          now);
    if (const auto record = agent.nextRecord(ledger, false, now)) {
      agent.recordSent(record->Sequence, now);
      ledger.applyNode(*record, now);
    }
    agent.ledgerChanged(ledger, now);
    change = agent.nextChange(ledger, now);
  }
  cr_assert(change.has_value(), "%s", row.Name);
  const auto freed = std::find_if(
      change->Freed.begin(), change->Freed.end(),
      [](const ReleasedKeys &it) { return it.Row.Node == "node"; });
  cr_assert(freed != change->Freed.end(), "%s", row.Name);
  cr_assert(freed->Row.Keys == (KeyRange{0, 999}), "%s", row.Name);
  cr_assert(freed->Cause == row.Cause, "%s: %s", row.Name,
            toString(freed->Cause).data());
}

// An answer may wait for a change of the log. It grants nothing if the process
// has been replaced meanwhile.
Test(HoldingAgent, GrantsNothingToAFormerProcess) {
  FleetLedger ledger = makeLedger();
  HoldingAgent agent = makeReady("node", ledger);
  const UpstreamProcess former = agent.upstreamProcess();
  agent.acceptHeartbeat(makeHeartbeat("u-node", 2, 1), Start);
  applyAll(ledger, {{{0, 999}, "node", {"u-node", 2}, 101, ""}});
  agent.ledgerChanged(ledger, Start);
  cr_assert_not(agent.grantTo(former, ledger, Start).has_value());
  const auto grant = agent.grantTo(agent.upstreamProcess(), ledger, Start);
  cr_assert(grant.has_value());
  cr_assert_eq(grant->Rows.size(), 1U);
}

namespace {

/// A grant to the process of "node", and what replaces the process 100 ms
/// later. The grant lasts 2550 ms, with the drift of the upstream's clock.
struct ReplacedRow {
  const char *Name;
  /// Whether the node granted the keys itself; if not, a former incarnation of
  /// the node may have done so until it started.
  bool IsKnown;
  const char *NewId;
  std::int64_t NewBorn;
  UpstreamState NewState;
  /// Data centre that is taken out at the same time; may be empty.
  const char *Out;
  /// Whether the replacement is silent afterwards.
  bool IsSilent;
  /// Whether the keys may go to the new process at once.
  bool IsOwnAtOnce;
};

using State = UpstreamState;
const ReplacedRow ReplacedRows[] = {
    {"by the same upstream, started again", true, "u-node", 2, State::Ready, "",
     false, true},
    {"by the same upstream, leaving", true, "u-node", 2, State::Leaving, "",
     false, false},
    {"by another upstream", true, "u-new", 2, State::Ready, "", false, false},
    {"by another upstream, of the same start time", true, "u-new", 1,
     State::Ready, "", false, false},
    {"by another upstream, leaving", true, "u-new", 2, State::Leaving, "",
     false, false},
    {"by another upstream, silent", true, "u-new", 2, State::Ready, "", true,
     false},
    {"by another upstream, data centre out", true, "u-new", 2, State::Ready,
     "dc", false, false},
    {"node restarted, by the same upstream", false, "u-node", 2, State::Ready,
     "", false, true},
    {"node restarted, by another upstream", false, "u-new", 2, State::Ready, "",
     false, false},
    {"node restarted, by another upstream, leaving", false, "u-new", 2,
     State::Leaving, "", false, false},
};

} // namespace

// Whatever replaces a process, the keys that it was granted aren't given to
// another upstream before its grant has run out.
ACACIA_TABLE_TEST(HoldingAgent, WaitsForTheEndOfAGrant, ReplacedRows) {
  FleetLedger ledger = makeLedger();
  NodeRecord elsewhere = ledger.findMember("a")->Record;
  elsewhere.DataCentre = "other";
  const auto keepOthers = [&](TimePoint now) {
    elsewhere.Sequence += 1;
    ledger.applyNode(elsewhere, now);
  };
  HoldingAgent agent({"node", "dc", "service", {"127.0.0.1", 1}, 1},
                     {HeartbeatInterval, seconds(10)}, Start);
  if (row.IsKnown)
    agent.acceptHeartbeat(makeHeartbeat("u-node", 1, 1), Start);
  TimePoint now = Start;
  const auto renew = [&] {
    if (const auto record = agent.nextRecord(ledger, false, now)) {
      agent.recordSent(record->Sequence, now);
      ledger.applyNode(*record, now);
    }
    keepOthers(now);
    agent.ledgerChanged(ledger, now);
  };
  renew();
  if (row.IsKnown)
    cr_assert_eq(agent.grant(ledger, now)->Rows.size(), 1U, "%s", row.Name);
  const TimePoint heldUntil = Start + milliseconds(2550);
  now += milliseconds(100);
  if (*row.Out != '\0')
    ledger.setDataCentresOut({row.Out});
  std::uint64_t sequence = 0;
  const auto beat = [&] {
    agent.acceptHeartbeat(
        makeHeartbeat(row.NewId, row.NewBorn, ++sequence, row.NewState), now);
    renew();
    agent.grant(ledger, now);
  };
  beat();
  std::optional<TimePoint> given;
  for (; now < Start + seconds(9) && !given; now += milliseconds(10)) {
    if (!row.IsSilent && (now - Start) % milliseconds(500) == milliseconds(100))
      beat();
    renew();
    const auto notice = agent.nextNotice(ledger, now);
    const auto change = agent.nextChange(ledger, now);
    if (notice && !notice->Notice.Keys.empty())
      given = now;
    if (change && !change->Freed.empty())
      given = now;
  }
  cr_assert(given.has_value(), "%s: never given", row.Name);
  const bool isAtOnce = *given < heldUntil;
  cr_assert_eq(isAtOnce, row.IsOwnAtOnce, "%s: given after %lld ms", row.Name,
               static_cast<long long>((*given - Start) / milliseconds(1)));
}

namespace {

struct EraRow {
  const char *Name;
  /// Events after the upstream has got all keys: e: the log enters another era,
  /// r: the node's record is read back without its claim, c: with its claim, l:
  /// the upstream leaves, w: half of a lease passes.
  const char *Events;
  bool IsGranted;
  bool HasPendingClaim;
  UpstreamState State;
};

const EraRow EraRows[] = {
    {"keeps its keys", "e", true, true, UpstreamState::Ready},
    {"its claim is read back", "ec", true, false, UpstreamState::Ready},
    {"for no longer than its lease", "eww", false, true, UpstreamState::Ready},
    {"a record sent before doesn't extend it", "erww", false, true,
     UpstreamState::Ready},
    {"a record read back with the claim does", "wecw", true, false,
     UpstreamState::Ready},
    {"nothing to claim after the lease", "wwe", false, false,
     UpstreamState::Ready},
    {"two eras before the claim is read", "ee", true, true,
     UpstreamState::Ready},
    {"two eras, claimed in the first", "ece", true, true, UpstreamState::Ready},
    {"a leaving upstream stays so and releases its keys", "le", false, true,
     UpstreamState::Leaving},
};

} // namespace

ACACIA_TABLE_TEST(HoldingAgent, EntersAnotherEra, EraRows) {
  HoldingAgent agent = makeAgent();
  FleetLedger ledger;
  TimePoint now = Start;
  std::uint64_t heartbeats = 0;
  core::LogEra era = 0;
  cr_assert(agent.acceptHeartbeat(makeHeartbeat("u", 1, ++heartbeats), now));
  const auto readBack = [&](bool isSentNow) {
    agent.renewAt(now);
    const auto record = agent.nextRecord(ledger, false, now);
    cr_assert(record.has_value(), "%s", row.Name);
    if (isSentNow)
      agent.recordSent(record->Sequence, now);
    ledger.applyNode(*record, now);
    agent.ledgerChanged(ledger, now);
  };
  applyAll(ledger, {{{0, KeyCount - 1}, "node", {"u", 1}, 7, {}}});
  readBack(true);
  for (const char it : std::string(row.Events)) {
    if (it == 'e') {
      agent.enterEra(ledger, now);
      ledger.enterEra(++era, now);
      agent.ledgerChanged(ledger, now);
    } else if (it == 'r') {
      readBack(false);
    } else if (it == 'c') {
      ledger.applyClaim(*agent.pendingClaim(ledger));
      readBack(true);
    } else if (it == 'l') {
      agent.upstreamLeaves("u", now);
    } else {
      now += NodeLease / 2;
      cr_assert(
          agent.acceptHeartbeat(makeHeartbeat("u", 1, ++heartbeats), now));
    }
  }
  const auto grant = agent.grant(ledger, now);
  cr_assert_eq(grant.has_value() && !grant->Rows.empty(), row.IsGranted, "%s",
               row.Name);
  cr_assert_eq(agent.pendingClaim(ledger).has_value(), row.HasPendingClaim,
               "%s", row.Name);
  cr_assert(agent.state() == row.State, "%s", row.Name);
}
