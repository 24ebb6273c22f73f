#include "Ownership/SliceLedger.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::ownership;
using core::InstanceId;

namespace {

constexpr char Service[] = "catalogue";
constexpr InstanceId First{1};
constexpr InstanceId Second{2};
const core::TimePoint Start{std::chrono::hours(1)};

struct LedgerRow {
  const char *Name;
  /// Whether the ledger of Second is told of the change while Second owns the
  /// slice.
  bool SeesOwnership;
  /// Whether Second starts the slice, and whether it is reported idle after the
  /// move back.
  bool Starts;
  bool IsIdle;
  bool IsReleased;
};

const LedgerRow LedgerRows[] = {
    // Happens if one record assigns the slice and takes it away again.
    {"gained and lost unseen", false, false, false, true},
    {"never started", true, false, false, true},
    {"started, requests in flight", true, true, false, false},
    {"started and idle", true, true, true, true},
};

/// A fleet map with two instances and a service with one slice, owned by First.
struct Log {
  FleetMap Map;
  core::Offset Next = 1;

  void add(const OwnershipRecord &record) {
    cr_assert(Map.apply(record, Next++));
  }
  core::Epoch epoch() const { return Map.slice(ref())->Epoch; }
  SliceRef ref() const { return *Map.refOf({Service, 0}); }
  void release(InstanceId by, core::Epoch at) {
    add(SlicesReleased{by, {{{Service, 0}, at}}});
  }
};

Log twoInstances() {
  Log log;
  log.add(ServiceDefined{Service, 1});
  for (const InstanceId id : {First, Second}) {
    InstanceInfo info;
    info.Id = id;
    info.Service = Service;
    log.add(InstanceJoined{info, {}});
  }
  return log;
}

} // namespace

ACACIA_TABLE_TEST(SliceLedgerTest, releasesWhatItLost, LedgerRows) {
  Log log = twoInstances();
  SliceLedger ledger(Second, std::chrono::seconds(1), {});
  log.add(SliceMoved{{Service, 0}, log.epoch(), Second});
  if (row.SeesOwnership)
    ledger.onSliceChanged(log.ref(), log.Map);
  log.release(First, log.epoch() - 1);
  if (row.Starts)
    cr_assert(ledger.start(
        log.Map, [](InstanceId) { return false; }, nullptr));
  const core::Epoch held = log.epoch();
  log.add(SliceMoved{{Service, 0}, held, First});
  ledger.onSliceChanged(log.ref(), log.Map);
  if (row.IsIdle)
    ledger.onIdle(log.ref());
  const auto releases = ledger.takeDueReleases(log.Map, Start);
  cr_assert_eq(releases.size(), row.IsReleased ? 1 : 0, "%s", row.Name);
  if (row.IsReleased)
    cr_assert_eq(releases[0].Epoch, held, "%s", row.Name);
}
