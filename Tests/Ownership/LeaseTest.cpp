#include "Ownership/LeaseHolder.h"
#include "Ownership/LeaseWitness.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::ownership;
using core::InstanceId;
using std::chrono::milliseconds;

namespace {

const core::TimePoint Start{std::chrono::hours(1)};

core::TimePoint at(int ms) { return Start + milliseconds(ms); }

/// A promise by witness From for the request sent at AskedAt milliseconds.
struct PromiseRow {
  std::uint64_t From;
  int AskedAt;
};

struct HolderRow {
  const char *Name;
  std::vector<InstanceId> Witnesses;
  std::vector<InstanceId> Proposed;
  std::vector<PromiseRow> Promises;
  /// Expiry in milliseconds; -1 for none.
  int Expiry;
};

const HolderRow HolderRows[] = {
    {"no witness is needed", {}, {}, {}, 1600},
    {"one of one", {{1}}, {}, {{1, 200}}, 800},
    {"one of three", {{1}, {2}, {3}}, {}, {{1, 200}}, -1},
    {"two of three", {{1}, {2}, {3}}, {}, {{1, 200}, {2, 400}}, 800},
    {"the latest two of three",
     {{1}, {2}, {3}},
     {},
     {{1, 200}, {2, 400}, {3, 600}},
     1000},
    {"an older promise arrives late",
     {{1}, {2}, {3}},
     {},
     {{1, 600}, {2, 600}, {2, 200}},
     1200},
    {"a promise by a non-witness",
     {{1}, {2}, {3}},
     {},
     {{1, 200}, {9, 200}},
     -1},
    {"a promise for a request never sent", {{1}}, {}, {{1, 1200}}, -1},
    {"proposed, no majority of the new witnesses",
     {{1}, {2}, {3}},
     {{3}, {4}, {5}},
     {{1, 400}, {2, 400}, {3, 400}},
     -1},
    {"proposed, the earlier expiry counts",
     {{1}, {2}, {3}},
     {{3}, {4}, {5}},
     {{1, 400}, {3, 400}, {4, 200}},
     800},
};

constexpr core::Offset JoinedAt = 3;

/// An event at a witness of holder 1, which joined at offset 3.
enum class Event : std::uint8_t { Ask, Read, Query, Tick };

struct Expected {
  Event What;
  int AtMs;
  /// Ask: promise given. Query: confirmed at once. Tick: a confirmation is due.
  /// Read: the record of the retirement is accepted.
  bool IsYes;
};

struct WitnessRow {
  const char *Name;
  std::vector<Expected> Events;
};

const WitnessRow WitnessRows[] = {
    {"nothing promised", {{Event::Query, 0, true}, {Event::Ask, 1, false}}},
    {"waits for lease length and drift allowance",
     {{Event::Ask, 0, true},
      {Event::Read, 10, true},
      {Event::Query, 20, false},
      {Event::Tick, 619, false},
      {Event::Tick, 620, true}}},
    {"no promise after reading the retirement",
     {{Event::Ask, 0, true},
      {Event::Read, 10, true},
      {Event::Ask, 20, false},
      {Event::Query, 620, true}}},
    {"no promise after a query by a successor",
     {{Event::Ask, 0, true},
      {Event::Query, 20, false},
      {Event::Ask, 30, false},
      {Event::Tick, 620, true},
      {Event::Ask, 700, false}}},
    {"still refuses long after the retirement",
     {{Event::Read, 0, true},
      {Event::Tick, 10'000, false},
      {Event::Ask, 10'001, false}}},
    {"the last promise counts",
     {{Event::Ask, 0, true},
      {Event::Ask, 500, true},
      {Event::Query, 620, false},
      {Event::Query, 1120, true}}},
};

/// A map in which instance 1 has joined at offset 3.
FleetMap mapWithHolder() {
  FleetMap map;
  InstanceInfo info;
  info.Id = {1};
  (void)map.apply(InstanceJoined{info, {{2}}}, JoinedAt);
  return map;
}

} // namespace

ACACIA_TABLE_TEST(LeaseTest, holderCountsFromTheAsking, HolderRows) {
  LeaseHolder holder({}, {});
  holder.setWitnesses(row.Witnesses, 0);
  if (!row.Proposed.empty()) {
    holder.setCandidates(row.Proposed);
    holder.propose();
  }
  (void)holder.onRenew(at(1000));
  for (const PromiseRow &it : row.Promises)
    holder.onPromise({it.From}, at(it.AskedAt), at(1001));
  const core::TimePoint expected =
      row.Expiry < 0 ? core::TimePoint{} : at(row.Expiry);
  cr_assert(holder.expiry() == expected, "%s", row.Name);
}

ACACIA_TABLE_TEST(LeaseTest, witnessConfirmsOnlyWhatHasLapsed, WitnessRows) {
  LeaseWitness witness({}, {});
  FleetMap map = mapWithHolder();
  for (const Expected &it : row.Events) {
    bool isYes = false;
    if (it.What == Event::Ask)
      isYes = witness.onAsk({1}, JoinedAt, map, at(it.AtMs));
    else if (it.What == Event::Query)
      isYes = witness.onConfirmQuery({1}, {9}, map, at(it.AtMs));
    else if (it.What == Event::Tick)
      isYes = !witness.onTick(at(it.AtMs)).empty();
    else {
      isYes = map.apply(InstanceRetired{{1}, 0, RetireReason::DeclaredLost, {}},
                        JoinedAt + 1)
                  .has_value();
      witness.onRetired({1});
    }
    cr_assert_eq(isYes, it.IsYes, "%s at %d ms", row.Name, it.AtMs);
  }
}

Test(LeaseTest, newWitnessesAreProposedOnlyIfNoExpiryShrinks) {
  LeaseHolder holder({}, {});
  const std::vector<InstanceId> old = {{1}};
  holder.setWitnesses(old, 0);
  holder.setCandidates({{2}});
  (void)holder.onRenew(at(200));
  holder.onPromise({2}, at(200), at(201));
  (void)holder.onRenew(at(400));
  holder.onPromise({1}, at(400), at(401));
  holder.onPublished(holder.expiry());
  cr_assert(!holder.canPropose(at(402)), "the new promise ends earlier");
  holder.onPromise({2}, at(400), at(403));
  cr_assert(holder.canPropose(at(404)));
  holder.propose();
  cr_assert(holder.expiry() == at(1000));
}
