/// \file
/// The successor's side of a takeover.

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

/// A witness to ask about a lost holder.
struct LeaseExpiryQuery {
  core::InstanceId Holder;
  core::InstanceId Witness;
};

/// Counts which witnesses of lost holders have confirmed that their promises
/// have lapsed.
class LeaseExpiryTracker {
public:
  explicit LeaseExpiryTracker(LeaseRules rules) : Rules(rules) {}

  /// Sets the lost holders to wait for; forgets all others.
  void setHolders(const std::set<core::InstanceId> &holders);

  /// Notes that \p witness confirmed. Returns whether that was news.
  bool onConfirmed(core::InstanceId holder, core::InstanceId witness,
                   const FleetMap &map, core::TimePoint now);

  /// Returns whether no majority of \p holder's witnesses can hold a promise
  /// and no order of it can run any more.
  bool isLapsed(core::InstanceId holder, core::TimePoint now) const;

  /// Returns the queries to send now; each is repeated until confirmed.
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
