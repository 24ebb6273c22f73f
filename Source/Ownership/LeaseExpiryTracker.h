/// \file
/// Tracks, for a successor, when the leases of lost holders have expired.

#ifndef ACACIAROAD_OWNERSHIP_LEASEEXPIRYTRACKER_H
#define ACACIAROAD_OWNERSHIP_LEASEEXPIRYTRACKER_H

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"
#include "Ownership/FleetMap.h"
#include "Ownership/LeaseRules.h"

namespace acaciaroad::ownership {

/// A query to a witness about the lease of a lost holder.
struct LeaseExpiryQuery {
  core::InstanceId Holder;
  core::InstanceId Witness;
};

/// Tracks which witnesses of lost holders have confirmed that their promises
/// have expired.
class LeaseExpiryTracker {
public:
  explicit LeaseExpiryTracker(LeaseRules rules) : Rules(rules) {}

  /// Sets the lost holders to wait for and drops all others.
  void setHolders(const std::set<core::InstanceId> &holders);

  /// Records the confirmation by \p witness. Returns whether it completed the
  /// quorum; the lease may still have to outlast LeaseRules::OrderOverrun.
  bool onConfirmed(core::InstanceId holder, core::InstanceId witness,
                   const FleetMap &map, core::TimePoint now);

  /// Returns whether the lease has expired for certain: no majority of the
  /// witnesses of \p holder can hold a promise, and no order that it sent can
  /// still run.
  bool isLapsed(core::InstanceId holder, core::TimePoint now) const;

  /// Returns the queries to send now. Each is repeated until confirmed.
  std::vector<LeaseExpiryQuery> onTick(const FleetMap &map,
                                       core::TimePoint now);

  std::optional<core::TimePoint> nextDeadline(core::TimePoint now) const;

private:
  struct Holder {
    std::set<core::InstanceId> Confirmed;
    std::optional<core::TimePoint> ExpiredAt;
    core::TimePoint NextQuery;
  };

  LeaseRules Rules;
  std::map<core::InstanceId, Holder> Holders;
};

} // namespace acaciaroad::ownership

#endif
