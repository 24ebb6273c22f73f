#include "Ownership/HotKeyPolicy.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::ownership;
using namespace std::chrono_literals;

namespace {

constexpr char Service[] = "catalogue";
constexpr std::uint64_t HotKey = 42;
/// An offset after those used by twoInstances().
constexpr core::Offset Later = 10'000;
constexpr core::InstanceId Self{1};
constexpr core::InstanceId Other{2};
const core::TimePoint Start{1h};

/// Two instances with 16 slices in total and no move in progress.
FleetMap twoInstances() {
  FleetMap map;
  core::Offset offset = 1;
  (void)map.apply(ServiceDefined{Service, 16}, offset++);
  for (const core::InstanceId id : {Self, Other}) {
    InstanceInfo info;
    info.Id = id;
    info.Service = Service;
    (void)map.apply(InstanceJoined{info, {}}, offset++);
  }
  for (const core::InstanceId id : {Self, Other})
    for (const SliceRef it : map.slicesOf(id))
      (void)map.apply(SlicesStarted{id, {{map.idOf(it), map.slice(it)->Epoch}}},
                      offset++);
  return map;
}

struct PolicyRow {
  const char *Name;
  /// Utilisation in thousandths during even and odd seconds.
  std::uint32_t EvenLoad;
  std::uint32_t OddLoad;
  /// Share of the hot key in the requests, in hundredths.
  unsigned Hundredths;
  int Seconds;
  /// Expected number of records of each kind, in any order.
  int Added;
  int Moved;
  int Removed;
};

const PolicyRow PolicyRows[] = {
    {"not overloaded, with a hot key", 500, 500, 30, 30, 0, 0, 0},
    {"overloaded only in even seconds", 900, 500, 30, 30, 0, 0, 0},
    {"overloaded by a hot key", 900, 900, 30, 4, 1, 0, 0},
    {"still overloaded: the key moves", 900, 900, 30, 7, 1, 1, 0},
    {"a dominant key stays, a slice moves", 900, 900, 80, 7, 1, 1, 0},
    {"between the thresholds", 700, 700, 30, 30, 0, 0, 0},
    {"overloaded without a hot key", 900, 900, 0, 4, 0, 1, 0},
};

} // namespace

ACACIA_TABLE_TEST(HotKeyPolicyTest, proposesWithHysteresis, PolicyRows) {
  FleetMap map = twoInstances();
  const auto before = *map.ownerOf(Service, HotKey);
  if (before.Instance != Self)
    cr_assert(map.apply(SliceMoved{before.Slice, before.Epoch, Self}, Later));
  const auto owner = *map.ownerOf(Service, HotKey);
  (void)map.apply(SlicesStarted{Self, {{owner.Slice, owner.Epoch}}}, Later + 1);
  HotKeyPolicy policy({}, Self, Service, [] { return Other; });
  int added = 0;
  int moved = 0;
  int removed = 0;
  core::Offset offset = Later + 2;
  for (int second = 0; second < row.Seconds; ++second) {
    policy.onRequests(HotKey, std::uint64_t{10} * row.Hundredths);
    for (std::uint64_t key = 1000; key < 1100; ++key)
      policy.onRequests(key, 10 - row.Hundredths / 10);
    const auto load = second % 2 == 0 ? row.EvenLoad : row.OddLoad;
    const auto record =
        policy.decide(map, load, Start + std::chrono::seconds(second));
    if (!record)
      continue;
    cr_assert(map.apply(*record, offset++), "%s", row.Name);
    added += std::holds_alternative<HotKeyAdded>(*record) ? 1 : 0;
    moved += std::holds_alternative<SliceMoved>(*record) ? 1 : 0;
    removed += std::holds_alternative<HotKeyRemoved>(*record) ? 1 : 0;
  }
  cr_assert_eq(added, row.Added, "%s: added %d", row.Name, added);
  cr_assert_eq(moved, row.Moved, "%s: moved %d", row.Name, moved);
  cr_assert_eq(removed, row.Removed, "%s: removed %d", row.Name, removed);
  const bool isKept = map.ownerOf(Service, HotKey)->Instance == Self;
  cr_assert(isKept || row.Hundredths <= 50, "%s", row.Name);
}

Test(HotKeyPolicyTest, coldKeyMergesAfterItsDwell) {
  FleetMap map = twoInstances();
  const std::uint64_t key = map.service(Service)->placement().ownedBy(Self)[0];
  cr_assert(map.apply(
      HotKeyAdded{Service, key, map.ownerOf(Service, key)->Epoch}, Later));
  HotKeyPolicy policy({}, Self, Service, [] { return Other; });
  std::optional<OwnershipRecord> record;
  int second = 0;
  for (; second < 100 && !record; ++second) {
    policy.onRequests(9999, 100);
    record = policy.decide(map, 300, Start + std::chrono::seconds(second));
  }
  cr_assert_eq(second, 61, "%d", second);
  cr_assert(std::holds_alternative<HotKeyRemoved>(*record));
}

Test(HotKeyPolicyTest, countsNeverExceedTheTruth) {
  SpaceSavingCounter counter(8);
  for (std::uint64_t n = 0; n < 10'000; ++n) {
    counter.add(n % 1000 + 100, 1);
    counter.add(7, 1);
  }
  const auto top = counter.top(5000);
  cr_assert_eq(top.size(), 1);
  cr_assert_eq(top[0].KeyHash, 7);
  cr_assert_leq(counter.countOf(7), 10'000);
}
