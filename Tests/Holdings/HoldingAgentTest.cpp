#include "Holdings/HoldingAgent.h"

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

Heartbeat makeBeat(const std::string &id, std::int64_t born,
                   std::uint64_t sequence,
                   UpstreamState state = UpstreamState::Ready) {
  Heartbeat out;
  out.Life = {id, born};
  out.Sequence = sequence;
  out.State = state;
  out.Slots = 12;
  return out;
}

/// What the agent hears, one letter each, a heartbeat apart:
/// b the next heartbeat, d the next one that says it leaves, o one with an old
/// sequence, n one of a new life, p one of an earlier life, l that it leaves
/// without a heartbeat, s silence, r a refused connection.
struct StateRow {
  const char *Name;
  const char *Heard;
  UpstreamState State;
};

const StateRow StateRows[] = {
    {"nothing", "", UpstreamState::Absent},
    {"ready", "b", UpstreamState::Ready},
    {"leaves", "bd", UpstreamState::Leaving},
    {"leaving isn't taken back", "bdb", UpstreamState::Leaving},
    {"leaves without a heartbeat", "bl", UpstreamState::Leaving},
    {"has left before a restarted node hears of it", "lb",
     UpstreamState::Leaving},
    {"a new life after leaving", "bdn", UpstreamState::Ready},
    {"an old heartbeat", "bdo", UpstreamState::Leaving},
    {"a heartbeat of an earlier life", "bndp", UpstreamState::Leaving},
    {"a short silence", "bss", UpstreamState::Ready},
    {"a long silence", "bssss", UpstreamState::Absent},
    {"back after a long silence", "bssssb", UpstreamState::Ready},
    {"refused with heartbeats", "br", UpstreamState::Ready},
    {"refused and silent", "bssr", UpstreamState::Absent},
};

} // namespace

ACACIA_TABLE_TEST(HoldingAgent, FollowsTheUpstream, StateRows) {
  HoldingAgent agent = makeAgent();
  const FleetLedger ledger;
  TimePoint now = Start;
  std::uint64_t sequence = 10;
  std::int64_t born = 5;
  for (const char *it = row.Heard; *it != '\0'; ++it) {
    switch (*it) {
    case 'b':
      agent.heard(makeBeat("u", born, ++sequence), now);
      break;
    case 'd':
      agent.heard(makeBeat("u", born, ++sequence, UpstreamState::Leaving), now);
      break;
    case 'o':
      cr_assert_not(agent.heard(makeBeat("u", born, sequence - 1), now));
      break;
    case 'n':
      agent.heard(makeBeat("u", ++born, ++sequence), now);
      break;
    case 'p':
      cr_assert_not(agent.heard(makeBeat("u", born - 1, 99), now));
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

// What the node may grant lies within its lease, by a clock that is 2% slow.
Test(HoldingAgent, GrantsWithinItsLease) {
  HoldingAgent agent = makeAgent();
  FleetLedger ledger;
  agent.heard(makeBeat("u", 1, 1), Start);
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

// Another incarnation of the node under the same name keeps the keys and their
// token, while the same life of the upstream holds them.
Test(HoldingAgent, ResumesAfterARestart) {
  HoldingAgent agent = makeAgent();
  FleetLedger ledger;
  applyAll(ledger, {{{0, KeyCount - 1}, "node", {"u", 1}, 7, ""}});
  agent.heard(makeBeat("u", 1, 50), Start);
  auto record = agent.nextRecord(ledger, false, Start);
  agent.recordSent(record->Sequence, Start);
  ledger.applyNode(*record, Start);
  agent.ledgerChanged(ledger, Start);
  cr_assert_not(agent.nextChange(ledger, Start).has_value());
  const auto grant = agent.grant(ledger, Start);
  cr_assert(grant.has_value());
  cr_assert_eq(grant->Rows.at(0).Token, 7U);
}
