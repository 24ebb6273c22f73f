/// \file
/// The witness's side of leases.

#ifndef ACACIAROAD_OWNERSHIP_LEASEWITNESS_H
#define ACACIAROAD_OWNERSHIP_LEASEWITNESS_H

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"
#include "Ownership/FleetMap.h"
#include "Ownership/LeaseRules.h"

namespace acaciaroad::ownership {

/// A confirmation that became due.
struct Confirmation {
  core::InstanceId Holder;
  core::InstanceId Requester;
};

/// Remembers the promises that this incarnation gave, in memory only: a fresh
/// incarnation has another id and never answers for this one.
class LeaseWitness {
public:
  LeaseWitness(LeaseRules rules, ProtocolFaults faults)
      : Rules(rules), InjectedFaults(faults) {}

  /// Returns whether the witness promises. \p now must have been read after the
  /// ask was received, otherwise the promise could lapse too early.
  bool onAsk(core::InstanceId holder, core::Offset joinedAt,
             const FleetMap &map, core::TimePoint now);

  /// From now on nothing is promised to \p holder. Returns whether its last
  /// promise has lapsed; if not, \p requester is told when it has.
  bool onConfirmQuery(core::InstanceId holder, core::InstanceId requester,
                      const FleetMap &map, core::TimePoint now);

  /// Notes that the log says that \p holder is retired.
  void onRetired(core::InstanceId holder);

  /// Returns the confirmations that have become due, and forgets promises that
  /// no longer matter.
  std::vector<Confirmation> onTick(core::TimePoint now);

  /// Returns when a confirmation becomes due next.
  std::optional<core::TimePoint> nextDeadline() const;

private:
  struct Entry {
    core::TimePoint ExpiresAt;
    /// A successor has read the retirement, though this instance may not have.
    bool IsRefused = false;
    std::set<core::InstanceId> Requesters;
  };

  LeaseRules Rules;
  ProtocolFaults InjectedFaults;
  std::map<core::InstanceId, Entry> Entries;
};

} // namespace acaciaroad::ownership

#endif
