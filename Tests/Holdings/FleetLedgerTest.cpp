#include "Holdings/FleetLedger.h"

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "Holdings/KeyPlacement.h"
#include "Holdings/OrphanWatch.h"
#include "Support/Random.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::holdings;
using core::TimePoint;
using std::chrono::seconds;

namespace {

Holding held(Key from, Key to, std::string node, FencingToken token = 1) {
  return {{from, to}, std::move(node), {"u", 1}, token, {}};
}

struct PartRow {
  const char *Name;
  std::vector<Holding> Before;
  std::vector<Holding> After;
  /// Numbers of the parts that the change appends.
  std::vector<Key> Parts;
};

const PartRow PartRows[] = {
    {"nothing changes", {held(0, 2047, "a")}, {held(0, 2047, "a")}, {}},
    {"initial assignment of some keys", {}, {held(0, 2047, "a")}, {0, 1}},
    {"a range within one part",
     {held(0, 4095, "a")},
     {held(0, 1099, "a"), held(1100, 1200, "b", 2), held(1201, 4095, "a")},
     {1}},
    {"a range over a boundary",
     {held(0, 4095, "a")},
     {held(0, 999, "a"), held(1000, 1030, "b", 2), held(1031, 4095, "a")},
     {0, 1}},
    {"only the token changes",
     {held(1024, 2047, "a")},
     {held(1024, 2047, "a", 2)},
     {1}},
};

struct OrderRow {
  const char *Name;
  std::uint64_t Incarnation;
  std::uint64_t Sequence;
  bool IsApplied;
};

// After incarnation 3 and then sequence 5 of incarnation 1.
const OrderRow OrderRows[] = {
    {"the next record", 1, 6, true},
    {"an older record", 1, 4, false},
    {"the first record of another incarnation", 2, 1, true},
    {"a later record of the former incarnation", 3, 9, false},
};

struct OrphanRow {
  const char *Name;
  std::vector<Holding> Rows;
  std::vector<KeyRange> Orphans;
};

// The leases of the nodes a and self are current, that of b has expired.
const OrphanRow OrphanRows[] = {
    {"no key was ever assigned", {}, {{0, KeyCount - 1}}},
    {"all keys have a holder", {held(0, KeyCount - 1, "a")}, {}},
    {"the lease of a holder has expired",
     {held(0, 99, "a"), held(100, KeyCount - 1, "b")},
     {{100, KeyCount - 1}}},
    {"a holder without a node record",
     {held(0, KeyCount - 1, "x")},
     {{0, KeyCount - 1}}},
    {"a part without assignments",
     {held(0, 1023, "a"), held(2048, KeyCount - 1, "a")},
     {{1024, 2047}}},
    {"own keys are excluded", {held(0, KeyCount - 1, "self")}, {}},
};

} // namespace

ACACIA_TABLE_TEST(FleetLedger, JoinsParts, PartRows) {
  FleetLedger ledger;
  for (HoldingPart &it : changedParts({}, row.Before))
    ledger.applyHoldings("s", std::move(it));
  std::vector<Key> numbers;
  for (HoldingPart &it : changedParts(row.Before, row.After)) {
    numbers.push_back(it.Number);
    ledger.applyHoldings("s", std::move(it));
  }
  cr_assert(numbers == row.Parts, "%s", row.Name);
  const auto rows = ledger.holdingsOf("s");
  cr_assert(std::vector<Holding>(rows.begin(), rows.end()) == row.After, "%s",
            row.Name);
}

ACACIA_TABLE_TEST(FleetLedger, FindsOrphans, OrphanRows) {
  FleetLedger ledger;
  const TimePoint now = TimePoint() + seconds(100);
  for (const char *it : {"a", "b", "self"}) {
    NodeRecord record;
    record.Name = it;
    ledger.applyNode(record, record.Name == "b" ? now - seconds(8) : now);
  }
  for (HoldingPart &it : changedParts({}, row.Rows))
    ledger.applyHoldings("s", std::move(it));
  std::vector<KeyRange> found;
  for (const Holding &it : findOrphans(ledger, "s", "self", now))
    found.push_back(it.Keys);
  cr_assert(found == row.Orphans, "%s", row.Name);
}

// An append may be delayed past a later one of the same node.
ACACIA_TABLE_TEST(FleetLedger, KeepsTheNewestRecord, OrderRows) {
  FleetLedger ledger;
  NodeRecord record;
  record.Name = "node";
  record.Incarnation = 3;
  record.Sequence = 8;
  ledger.applyNode(record, TimePoint() + seconds(9));
  record.Incarnation = 1;
  record.Sequence = 5;
  record.State = UpstreamState::Leaving;
  ledger.applyNode(record, TimePoint() + seconds(10));
  record.Incarnation = row.Incarnation;
  record.Sequence = row.Sequence;
  record.State = UpstreamState::Ready;
  ledger.applyNode(record, TimePoint() + seconds(12));
  const Member *member = ledger.findMember("node");
  cr_assert_eq(member->Record.State == UpstreamState::Ready, row.IsApplied,
               "%s", row.Name);
  cr_assert_eq(member->ReadAt == TimePoint() + seconds(12), row.IsApplied, "%s",
               row.Name);
}

namespace {

struct FoldRow {
  const char *Name;
  std::uint64_t FirstSeed;
  /// Longest time, in steps of the test, by which an append is late.
  std::uint64_t MaxDelay;
};

const FoldRow FoldRows[] = {
    {"appends in order", 1, 1},
    {"late by less than one incarnation", 1001, 6},
    {"late by some incarnations", 2001, 20},
};

/// Records of a node that restarts often, in the order of the log. An append
/// may be executed after later ones, but the last record is that of the live
/// incarnation.
std::vector<NodeRecord> makeLog(std::uint64_t seed, std::uint64_t maxDelay) {
  constexpr int Steps = 60;
  tests::Random rng(seed);
  std::multimap<std::uint64_t, NodeRecord> delayed;
  std::vector<NodeRecord> out;
  NodeRecord record;
  record.Name = "node";
  record.Generation = 1;
  for (std::uint64_t step = 0; step < Steps; ++step) {
    for (; !delayed.empty() && delayed.begin()->first <= step;
         delayed.erase(delayed.begin()))
      out.push_back(delayed.begin()->second);
    if (rng.chance(0.2)) {
      // Follows the records that the log has by then.
      record.Generation = std::max(record.Generation, out.size() + 1) + 1;
      record.Incarnation = rng.next();
      record.Sequence = 0;
    }
    ++record.Sequence;
    delayed.emplace(step + rng.below(maxDelay + 1), record);
  }
  for (const auto &[step, it] : delayed)
    out.push_back(it);
  ++record.Sequence;
  out.push_back(record);
  return out;
}

/// Applies the log to a ledger that was started from a snapshot of its first
/// \p start records.
FleetLedger readLog(std::span<const NodeRecord> log, std::size_t start) {
  FleetLedger out;
  for (std::size_t n = start == 0 ? 0 : start - 1; n < log.size(); ++n)
    out.applyNode(log[n], TimePoint() + seconds(n));
  return out;
}

} // namespace

// Readers that started at different times must agree on which incarnation of a
// node lives, or some of them ignore its renewals and take over its keys.
ACACIA_TABLE_TEST(FleetLedger, IsTheSameFromEachStart, FoldRows) {
  constexpr std::uint64_t Seeds = 500;
  for (std::uint64_t seed = row.FirstSeed; seed < row.FirstSeed + Seeds;
       ++seed) {
    const auto log = makeLog(seed, row.MaxDelay);
    for (std::size_t start = 0; start <= log.size(); ++start) {
      const FleetLedger ledger = readLog(log, start);
      const Member *member = ledger.findMember("node");
      cr_assert(member->Record == log.back(), "%s, seed %lu, start %zu",
                row.Name, static_cast<unsigned long>(seed), start);
      cr_assert(member->ReadAt == TimePoint() + seconds(log.size() - 1));
    }
  }
}

namespace {

struct GenerationRow {
  const char *Name;
  std::uint64_t KnownGeneration;
  std::uint64_t KnownIncarnation;
  std::uint64_t Generation;
  std::uint64_t Incarnation;
  bool IsApplied;
};

// The reader started after the former incarnation's last record.
const GenerationRow GenerationRows[] = {
    {"a later start", 5, 1, 6, 2, true},
    {"late record of an earlier start", 5, 1, 4, 2, false},
    {"two starts with one number, the higher incarnation", 5, 1, 5, 2, true},
    {"two starts with one number, the lower incarnation", 5, 2, 5, 1, false},
    {"update from an earlier release", 0, 1, 5, 2, true},
    {"return to an earlier release", 5, 1, 0, 2, true},
    {"renewal through a reader of an earlier release", 5, 1, 0, 1, true},
};

} // namespace

ACACIA_TABLE_TEST(FleetLedger, OrdersIncarnations, GenerationRows) {
  FleetLedger ledger;
  NodeRecord record;
  record.Name = "node";
  record.Generation = row.KnownGeneration;
  record.Incarnation = row.KnownIncarnation;
  ledger.applyNode(record, TimePoint() + seconds(10));
  record.Generation = row.Generation;
  record.Incarnation = row.Incarnation;
  record.Sequence = 1;
  ledger.applyNode(record, TimePoint() + seconds(11));
  const Member *member = ledger.findMember("node");
  cr_assert_eq(member->ReadAt == TimePoint() + seconds(11), row.IsApplied, "%s",
               row.Name);
  if (row.KnownIncarnation == row.Incarnation)
    cr_assert_eq(member->Record.Generation, row.KnownGeneration, "%s",
                 row.Name);
}
