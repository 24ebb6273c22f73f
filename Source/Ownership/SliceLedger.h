/// \file
/// The slices that one instance owns or is giving up.

#ifndef ACACIAROAD_OWNERSHIP_SLICELEDGER_H
#define ACACIAROAD_OWNERSHIP_SLICELEDGER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"
#include "Ownership/FleetMap.h"
#include "Ownership/FleetTypes.h"
#include "Ownership/LeaseMessages.h"
#include "Ownership/LeaseRules.h"

namespace acaciaroad::ownership {

/// Slices that an instance may serve while its lease holds, with their epochs.
using GrantTable = std::map<SliceRef, core::Epoch>;

/// Part of the OwnershipAgent aggregate: follows the map for one instance. An
/// owned slice starts when every predecessor is cleared; a lost one is released
/// when no request of it runs any more.
class SliceLedger {
public:
  /// Tells whether a lost predecessor's lease has lapsed.
  using LeaseExpiredFunction = std::function<bool(core::InstanceId)>;

  /// \p retry is the time after which a record without visible outcome is
  /// appended again.
  SliceLedger(core::InstanceId self, core::Duration retry,
              ProtocolFaults faults)
      : Self(self), Retry(retry), InjectedFaults(faults) {}

  /// Follows a change of \p ref in \p map.
  void onSliceChanged(SliceRef ref, const FleetMap &map);

  /// Notes a direct message of \p by.
  void onReleased(core::InstanceId by, const Released &message,
                  const FleetMap &map);

  /// Notes that no request of \p ref runs any more.
  void onIdle(SliceRef ref);

  /// Tells whether a slice may start that waits for no predecessor any more.
  using MayStartFunction = std::function<bool(const core::SliceId &)>;

  /// Starts the slices that need to wait no longer. Returns whether any has.
  /// An empty \p mayStart allows all.
  bool start(const FleetMap &map, const LeaseExpiredFunction &isLapsed,
             const MayStartFunction &mayStart);

  /// Returns the lost instances that slices wait for.
  std::set<core::InstanceId> lostPredecessors(const FleetMap &map) const;

  /// Returns the started slices, due now, that the map still lists
  /// predecessors of.
  std::vector<SliceEpoch> takeDueStarts(const FleetMap &map,
                                        core::TimePoint now);

  /// Returns the lost slices, due now, that are idle and that the map still
  /// lists this instance for.
  std::vector<SliceEpoch> takeDueReleases(const FleetMap &map,
                                          core::TimePoint now);

  /// Returns the lost slices whose requests still run.
  std::vector<SliceRef> draining() const;

  /// Returns an immutable table of the started slices.
  std::shared_ptr<const GrantTable> grants() const;

  bool hasSlices() const { return !Own.empty() || !Drains.empty(); }

  /// Gives up everything at once, after the own retirement.
  void clear();

private:
  struct OwnSlice {
    core::Epoch Epoch = 0;
    bool IsStarted = false;
    /// Requests from an earlier epoch of this instance may still run.
    bool MayRun = false;
  };
  struct Drain {
    core::Epoch Epoch = 0;
    bool IsIdle = false;
    core::TimePoint NextAppend;
  };
  struct Release {
    SliceRef Slice;
    Predecessor By;
    auto operator<=>(const Release &) const = default; // NOLINT
  };

  void onGained(SliceRef ref, const SliceState &state);
  void onLost(SliceRef ref, const SliceState *state);
  void dropOldReleases(const FleetMap &map);

  core::InstanceId Self;
  core::Duration Retry;
  ProtocolFaults InjectedFaults;
  std::map<SliceRef, OwnSlice> Own;
  std::set<SliceRef> Waiting;
  /// Started, but not yet recorded as such, with the time of the next append.
  std::map<SliceRef, core::TimePoint> Unrecorded;
  std::map<SliceRef, Drain> Drains;
  std::set<Release> Releases;
};

} // namespace acaciaroad::ownership

#endif
