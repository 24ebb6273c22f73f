#include "Ownership/FleetMap.h"

#include <numeric>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::ownership;
using core::InstanceId;

namespace {

constexpr char Service[] = "catalogue";

/// A fleet map and the offset of the next record.
struct Log {
  FleetMap Map;
  core::Offset Next = 1;

  core::Result<void> add(const OwnershipRecord &record) {
    return Map.apply(record, Next++);
  }
  void join(std::uint64_t id, std::string dataCentre,
            std::vector<InstanceId> witnesses = {}) {
    InstanceInfo info;
    info.Id = {id};
    info.DataCentre = std::move(dataCentre);
    info.Service = Service;
    cr_assert(add(InstanceJoined{info, std::move(witnesses)}));
  }
  std::size_t load(std::uint64_t id) const {
    const auto *service = Map.service(Service);
    return service->placement().ownedBy({id}).size();
  }
  const SliceState &slice(core::SliceIndex index) const {
    return *Map.slice(*Map.refOf({Service, index}));
  }
  core::SliceId firstOf(std::uint64_t id) const {
    return {Service, Map.service(Service)->placement().ownedBy({id})[0]};
  }
};

/// Four instances in two data centres with 40 slices. Instances 2 to 4 are the
/// witnesses of instance 1.
Log fourInstances() {
  Log log;
  cr_assert(log.add(ServiceDefined{Service, 40}));
  for (std::uint64_t id = 1; id <= 4; ++id)
    log.join(id, id % 2 == 1 ? "east" : "west");
  cr_assert(log.add(WitnessesChanged{{1}, 0, {{2}, {3}, {4}}}));
  return log;
}

struct RecordRow {
  const char *Name;
  OwnershipRecord Record;
  bool IsAccepted;
  /// Expected number of slices of instances 1 to 4.
  std::array<std::size_t, 4> Loads;
};

const RecordRow RecordRows[] = {
    {"lost",
     InstanceRetired{{1}, 1, RetireReason::Lost, {2}},
     true,
     {0, 14, 13, 13}},
    {"lost, stale witness version",
     InstanceRetired{{1}, 0, RetireReason::Lost, {2}},
     false,
     {10, 10, 10, 10}},
    {"lost, proposed by a non-witness",
     InstanceRetired{{1}, 1, RetireReason::Lost, {5}},
     false,
     {10, 10, 10, 10}},
    {"lost without witnesses",
     InstanceRetired{{2}, 0, RetireReason::Lost, {1}},
     false,
     {10, 10, 10, 10}},
    {"stop reported by another instance",
     InstanceRetired{{2}, 0, RetireReason::Stopped, {1}},
     false,
     {10, 10, 10, 10}},
    {"leaving", InstanceLeaving{{4}}, true, {14, 13, 13, 0}},
    {"west out of service",
     DataCentreShareSet{"west", 0, 0},
     true,
     {20, 0, 20, 0}},
    {"west at half share",
     DataCentreShareSet{"west", 0, 500},
     true,
     {13, 7, 13, 7}},
    {"share with a stale basis",
     DataCentreShareSet{"west", 1, 0},
     false,
     {10, 10, 10, 10}},
    {"duplicate witness",
     WitnessesChanged{{2}, 0, {{1}, {1}}},
     false,
     {10, 10, 10, 10}},
    {"holder as its own witness",
     WitnessesChanged{{2}, 0, {{2}}},
     false,
     {10, 10, 10, 10}},
    {"service defined twice",
     ServiceDefined{Service, 8},
     false,
     {10, 10, 10, 10}},
};

} // namespace

ACACIA_TABLE_TEST(FleetMapTest, recordMovesOnlyWhatItMust, RecordRows) {
  Log log = fourInstances();
  const bool isAccepted = log.add(row.Record).has_value();
  cr_assert_eq(isAccepted, row.IsAccepted, "%s", row.Name);
  std::array<std::size_t, 4> loads{};
  for (std::size_t n = 0; n < 4; ++n)
    loads[n] = log.load(n + 1);
  auto expected = row.Loads;
  // The tie-break decides which of several equal members gets the odd slice.
  std::sort(loads.begin(), loads.end());
  std::sort(expected.begin(), expected.end());
  for (std::size_t n = 0; n < 4; ++n)
    cr_assert_leq(loads[n] > expected[n] ? loads[n] - expected[n]
                                         : expected[n] - loads[n],
                  row.IsAccepted ? 1U : 0U, "%s: load %zu", row.Name, loads[n]);
}

ACACIA_TABLE_TEST(FleetMapTest, snapshotEqualsTheFold, RecordRows) {
  Log log = fourInstances();
  (void)log.add(row.Record);
  (void)log.add(HotKeyAdded{Service, 77, log.slice(77 % 40).Epoch});
  Log copy{FleetMap::fromSnapshot(log.Map.snapshot()).value(), log.Next};
  cr_assert(copy.Map.snapshot() == log.Map.snapshot(), "%s", row.Name);
  for (Log *it : {&log, &copy}) {
    it->join(9, "east", {{2}});
    (void)it->add(InstanceRetired{{2}, 0, RetireReason::DeclaredLost, {}});
    (void)it->add(DataCentreShareSet{"west", 1, 700});
  }
  cr_assert(copy.Map.snapshot() == log.Map.snapshot(), "%s, later", row.Name);
}

Test(FleetMapTest, joinTakesOnlyItsShare) {
  Log log;
  cr_assert(log.add(ServiceDefined{Service, 40}));
  std::size_t changed = 0;
  for (std::uint64_t id = 1; id <= 9; ++id) {
    log.join(id, "east");
    changed = 0;
    for (const SliceRef it : log.Map.changedSlices())
      changed += log.Map.idOf(it).Service == Service ? 1 : 0;
    cr_assert_eq(changed, 40 / id);
    cr_assert_eq(log.load(id), 40 / id);
  }
}

Test(FleetMapTest, takeoverOfATakeoverKeepsBothPredecessors) {
  Log log = fourInstances();
  const core::SliceId slice = log.firstOf(1);
  const core::Epoch epoch = log.slice(slice.Index).Epoch;
  cr_assert(log.add(InstanceRetired{{1}, 1, RetireReason::Lost, {2}}));
  const InstanceId second = log.slice(slice.Index).Owner;
  cr_assert(log.add(WitnessesChanged{
      second, 0, {second.Value == 2 ? InstanceId{3} : InstanceId{2}}}));
  const auto by = log.Map.instance(second)->Witnesses[0];
  cr_assert(log.add(InstanceRetired{second, 1, RetireReason::Lost, by}));
  const SliceState &state = log.slice(slice.Index);
  const std::vector<Predecessor> expected = {{{1}, epoch}, {second, epoch + 1}};
  cr_assert(state.Predecessors == expected);
  cr_assert_eq(log.Map.instance({1})->Witnesses.size(), 3);
  cr_assert(log.add(SlicesStarted{state.Owner, {{slice, state.Epoch}}}));
  cr_assert(log.slice(slice.Index).Predecessors.empty());
}

Test(FleetMapTest, releaseClearsOnlyItsOwnEpoch) {
  Log log = fourInstances();
  const core::SliceId slice = log.firstOf(1);
  // The joins left predecessors, and only a slice without any can be moved.
  const core::Epoch epoch = log.slice(slice.Index).Epoch;
  (void)log.add(SlicesStarted{{1}, {{slice, epoch}}});
  cr_assert(log.add(SliceMoved{slice, epoch, {2}}));
  cr_assert(!log.add(SliceMoved{slice, epoch, {3}}));
  cr_assert(!log.add(SlicesReleased{{1}, {{slice, epoch + 1}}}));
  cr_assert(log.add(SlicesReleased{{1}, {{slice, epoch}}}));
  cr_assert(log.slice(slice.Index).Predecessors.empty());
}

Test(FleetMapTest, aServiceWithoutMembersWaitsForOne) {
  Log log;
  cr_assert(log.add(ServiceDefined{Service, 8}));
  log.join(1, "east");
  cr_assert(log.add(InstanceRetired{{1}, 0, RetireReason::DeclaredLost, {}}));
  cr_assert(!log.slice(0).Owner);
  InstanceInfo again;
  again.Id = {1};
  cr_assert(!log.add(InstanceJoined{again, {}}), "id seen before");
  log.join(2, "east");
  cr_assert_eq(log.load(2), 8);
}

Test(FleetMapTest, hotKeyIsASliceOfItsOwn) {
  Log log;
  cr_assert(log.add(ServiceDefined{Service, 8}));
  log.join(1, "east");
  cr_assert(log.add(HotKeyAdded{Service, 19, 1}));
  cr_assert(!log.add(HotKeyAdded{Service, 19, 1}), "already hot");
  log.join(2, "east");
  const auto hot = *log.Map.ownerOf(Service, 19);
  cr_assert_eq(hot.Slice.Index, HotSliceBase);
  const auto parent = *log.Map.ownerOf(Service, 3);
  const auto to = hot.Instance.Value == 1 ? InstanceId{2} : InstanceId{1};
  for (const auto &it : {hot, parent})
    (void)log.add(SlicesStarted{it.Instance, {{it.Slice, it.Epoch}}});
  cr_assert(log.add(SliceMoved{hot.Slice, hot.Epoch, to}));
  cr_assert(log.Map.ownerOf(Service, 19)->Instance == to);
  cr_assert(log.Map.ownerOf(Service, 3)->Instance == parent.Instance);
  cr_assert(!log.add(HotKeyRemoved{Service, 19, hot.Epoch + 1}), "moving");
}

Test(FleetMapTest, aViewDoesNotChange) {
  Log log = fourInstances();
  const FleetView before = log.Map.share();
  const auto owner = before.ownerOf(Service, 5);
  cr_assert(log.add(InstanceRetired{owner->Instance,
                                    owner->Instance.Value == 1 ? 1U : 0U,
                                    RetireReason::DeclaredLost,
                                    {}}));
  cr_assert(before.ownerOf(Service, 5) == owner);
  cr_assert(before.instance(owner->Instance) != nullptr);
  const FleetView after = log.Map.share();
  cr_assert(after.ownerOf(Service, 5) != owner);
  cr_assert(after.instance(owner->Instance) == nullptr);
  cr_assert_eq(after.eligible(Service).size(), 3);
}
