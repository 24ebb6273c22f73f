/// \file
/// The slices that one instance owns or is releasing.

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

/// Slices that an instance may serve while its lease is valid, by epoch.
using GrantTable = std::map<SliceRef, core::Epoch>;

/// Part of the OwnershipAgent aggregate: tracks the slices of one instance. A
/// slice that it gains starts once every predecessor has released it or lost
/// its lease; a slice that it loses is released once no request for it is in
/// flight.
class SliceLedger {
public:
  /// Returns whether the lease of a lost predecessor has expired.
  using LeaseExpiredFunction = std::function<bool(core::InstanceId)>;

  /// \p retry is the interval after which a record is appended again if its
  /// outcome is not yet visible in the log.
  SliceLedger(core::InstanceId self, core::Duration retry,
              ProtocolFaults faults)
      : Self(self), Retry(retry), InjectedFaults(faults) {}

  /// Handles a change of \p ref in \p map.
  void onSliceChanged(SliceRef ref, const FleetMap &map);

  /// Handles a release sent directly by \p by.
  void onReleased(core::InstanceId by, const Released &message,
                  const FleetMap &map);

  /// Records that no request for \p ref is in flight.
  void onIdle(SliceRef ref);

  /// Returns whether a slice may start once it waits for no predecessor.
  using MayStartFunction = std::function<bool(const core::SliceId &)>;

  /// Starts all slices that no longer have to wait. Returns whether any was
  /// started. An empty \p mayStart allows all.
  bool start(const FleetMap &map, const LeaseExpiredFunction &isLapsed,
             const MayStartFunction &mayStart);

  /// Returns the lost instances that slices still wait for.
  std::set<core::InstanceId> lostPredecessors(const FleetMap &map) const;

  /// Returns the started slices to record now: those for which the map still
  /// lists predecessors.
  std::vector<SliceEpoch> takeDueStarts(const FleetMap &map,
                                        core::TimePoint now);

  /// Returns the lost slices to release now: those that are idle and for which
  /// the map still lists this instance as a predecessor.
  std::vector<SliceEpoch> takeDueReleases(const FleetMap &map,
                                          core::TimePoint now);

  /// Returns the lost slices with requests in flight.
  std::vector<SliceRef> draining() const;

  /// Returns an immutable table of the started slices.
  std::shared_ptr<const GrantTable> grants() const;

  bool hasSlices() const { return !Own.empty() || !Drains.empty(); }

  /// Drops all slices at once, after this instance was retired.
  void clear();

private:
  struct OwnSlice {
    core::Epoch Epoch = 0;
    bool IsStarted = false;
    /// Requests from an earlier epoch of this instance may be in flight.
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
  /// Slices whose start is not yet in the log, with the time of the next
  /// append.
  std::map<SliceRef, core::TimePoint> Unrecorded;
  std::map<SliceRef, Drain> Drains;
  std::set<Release> Releases;
};

} // namespace acaciaroad::ownership

#endif
