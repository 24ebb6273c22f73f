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
  /// Whether the ledger of Second sees the slice while Second owns it.
  bool SeesOwnership;
  /// Whether the slice starts there, and whether it is told idle afterwards.
  bool Starts;
  bool IsIdle;
  bool IsReleased;
};

const LedgerRow LedgerRows[] = {
    // As when one record gives the slice and takes it away again.
    {"gained and lost unseen", false, false, false, true},
    {"never started", true, false, false, true},
    {"started, requests run", true, true, false, false},
    {"started and idle", true, true, true, true},
};

/// A log of two instances of a service with one slice, which First owns.
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
