/// \file
/// The lease state that a witness keeps.

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

/// A confirmation that has become due.
struct Confirmation {
  core::InstanceId Holder;
  core::InstanceId Requester;
};

/// The promises given by this incarnation. They are kept in memory only: a
/// restarted process has a new id and never answers for this one.
class LeaseWitness {
public:
  LeaseWitness(LeaseRules rules, ProtocolFaults faults)
      : Rules(rules), InjectedFaults(faults) {}

  /// Returns whether the witness gives the promise. \p now must be read after
  /// the request was received, or the promise could expire too early.
  bool onAsk(core::InstanceId holder, core::Offset joinedAt,
             const FleetMap &map, core::TimePoint now);

  /// Stops giving promises to \p holder. Returns whether its last promise has
  /// expired; if not, onTick() returns a confirmation for \p requester later.
  bool onConfirmQuery(core::InstanceId holder, core::InstanceId requester,
                      const FleetMap &map, core::TimePoint now);

  /// Records that \p holder is retired according to the log.
  void onRetired(core::InstanceId holder);

  /// Returns the confirmations that have become due and drops expired promises.
  std::vector<Confirmation> onTick(core::TimePoint now);

  /// Returns when the next confirmation becomes due.
  std::optional<core::TimePoint> nextDeadline() const;

private:
  struct Entry {
    core::TimePoint ExpiresAt;
    /// A successor reported the retirement before this instance read it.
    bool IsRefused = false;
    std::set<core::InstanceId> Requesters;
  };

  LeaseRules Rules;
  ProtocolFaults InjectedFaults;
  std::map<core::InstanceId, Entry> Entries;
};

} // namespace acaciaroad::ownership

#endif
