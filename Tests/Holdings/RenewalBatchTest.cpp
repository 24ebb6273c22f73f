#include "Holdings/RenewalBatch.h"

#include <string>
#include <vector>

#include "Holdings/LeaseRenewal.h"
#include "Support/Random.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::holdings;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint() + seconds(100);

NodeRecord makeRecord(const std::string &name, std::uint64_t incarnation = 1,
                      std::uint64_t sequence = 1) {
  NodeRecord out;
  out.Name = name;
  out.Incarnation = incarnation;
  out.Sequence = sequence;
  out.State = UpstreamState::Ready;
  return out;
}

/// Nodes that renew their leases through one reader, on a virtual clock.
struct RenewalRow {
  const char *Name;
  std::size_t Nodes;
  bool IsKeyless;
  /// Time from the append to the platform's answer.
  core::Duration Latency;
  core::Duration MaxInterval;
};

constexpr core::Duration KeylessInterval = seconds(5);
constexpr core::Duration Tick = milliseconds(50);

const RenewalRow RenewalRows[] = {
    {"one node", 1, false, milliseconds(4), NodeLease / 3},
    {"a reader's usual nodes", 20, false, milliseconds(4), NodeLease / 3},
    {"twice the usual nodes", 40, false, milliseconds(4), NodeLease / 3},
    {"a slow platform", 20, false, milliseconds(400), NodeLease / 3},
    {"nodes without keys", 20, true, milliseconds(4), KeylessInterval},
};

struct OutdatedRow {
  const char *Name;
  std::uint64_t Incarnation;
  std::uint64_t Sequence;
  core::Duration Age;
  bool IsAppended;
};

// The log has incarnation 1, sequence 5.
const OutdatedRow OutdatedRows[] = {
    {"the next record", 1, 6, milliseconds(250), true},
    {"an older record", 1, 4, milliseconds(250), false},
    {"a record of another incarnation", 2, 6, milliseconds(250), false},
    {"a record that waited too long", 1, 6, milliseconds(1200), false},
};

struct RetryRow {
  const char *Name;
  bool IsAcknowledged;
  bool IsReadBack;
  /// Number of records in the first two seconds, with ticks each 50 ms.
  int Records;
};

const RetryRow RetryRows[] = {
    {"no answer", false, false, 5},
    {"acknowledged, but not read back in time", true, false, 1},
    {"read back", false, true, 1},
    {"acknowledged and read back", true, true, 1},
};

} // namespace

// A node that reads through others learns of its own record late. A record that
// the log has acknowledged isn't sent again meanwhile.
ACACIA_TABLE_TEST(LeaseRenewal, RepeatsWhatMayBeLost, RetryRows) {
  LeaseRenewal lease;
  FleetLedger ledger;
  int records = 0;
  for (TimePoint now = Start; now < Start + seconds(2); now += Tick) {
    const auto record = lease.next(makeRecord("node"), ledger, false, now);
    if (!record)
      continue;
    ++records;
    if (row.IsAcknowledged)
      lease.acknowledged(record->Sequence);
    if (row.IsReadBack)
      ledger.applyNode(*record, now);
  }
  cr_assert_eq(records, row.Records, "%s: %d", row.Name, records);
}

// After the first interval, the renewals of all nodes share one append a round,
// and no lease is renewed later than without the batch.
ACACIA_TABLE_TEST(RenewalBatch, SharesOneAppendARound, RenewalRows) {
  struct Node {
    LeaseRenewal Lease;
    TimePoint LastSent{};
    TimePoint NextTick{};
  };
  tests::Random rng(row.Nodes);
  FleetLedger ledger;
  RenewalBatch batch(Start);
  std::vector<Node> nodes(row.Nodes);
  for (Node &it : nodes)
    it.NextTick = Start + milliseconds(rng.below(5000));
  const TimePoint settled = Start + seconds(10);
  const TimePoint end = Start + seconds(40);
  int appends = 0;
  std::vector<std::pair<TimePoint, RenewalBatch::Renewal>> answers;
  for (TimePoint now = Start; now < end; now += milliseconds(1)) {
    std::erase_if(answers, [&](const auto &it) {
      if (now < it.first)
        return false;
      it.second.OnDone(batch.untilNextRound(now));
      return true;
    });
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      Node &node = nodes[n];
      if (now < node.NextTick)
        continue;
      node.NextTick = now + Tick;
      NodeRecord present = makeRecord("node-" + std::to_string(n));
      // The first generation in an empty log.
      present.Generation = 1;
      if (node.LastSent == TimePoint{})
        ledger.applyNode(present, now);
      const auto record = node.Lease.next(present, ledger, row.IsKeyless, now);
      if (!record)
        continue;
      if (node.LastSent != TimePoint{})
        cr_assert_leq((now - node.LastSent).count(),
                      (row.MaxInterval + Tick).count(), "%s", row.Name);
      node.LastSent = now;
      node.Lease.sent(record->Sequence, now);
      NodeRecord numbered = *record;
      numbered.Sequence += 1;
      cr_assert(batch.add({numbered, now, [&node, &now](auto round) {
                             cr_assert(round.has_value());
                             node.Lease.joinRound(now + *round);
                           }}));
    }
    if (!batch.dueAt() || now < *batch.dueAt())
      continue;
    appends += now < settled ? 0 : 1;
    for (auto &it : batch.take(ledger, now))
      answers.emplace_back(now + row.Latency, std::move(it));
  }
  const auto rounds = (end - settled) / RenewalRound;
  cr_assert_leq(appends, rounds + 1, "%s: %d appends", row.Name, appends);
}

ACACIA_TABLE_TEST(RenewalBatch, LeavesOutdatedRenewalsOut, OutdatedRows) {
  FleetLedger ledger;
  ledger.applyNode(makeRecord("node", 1, 5), Start);
  RenewalBatch batch(Start);
  bool isRefused = false;
  batch.add({makeRecord("node", row.Incarnation, row.Sequence), Start,
             [&](auto round) { isRefused = !round; }});
  const auto taken = batch.take(ledger, Start + row.Age);
  cr_assert_eq(taken.size(), row.IsAppended ? 1U : 0U, "%s", row.Name);
  cr_assert_eq(isRefused, !row.IsAppended, "%s", row.Name);
  cr_assert_not(batch.dueAt().has_value());
}

Test(RenewalBatch, IsBounded) {
  RenewalBatch batch(Start);
  std::size_t n = 0;
  while (batch.add({makeRecord(std::to_string(n)), Start, nullptr}))
    cr_assert_leq(++n, 1000U);
}
