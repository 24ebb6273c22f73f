/// \file
/// Members and key assignments of the fleet, built from the fleet's log.

#ifndef ACACIAROAD_HOLDINGS_FLEETLEDGER_H
#define ACACIAROAD_HOLDINGS_FLEETLEDGER_H

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Holdings/EraInventory.h"
#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// Length of a node's lease, on the node's own clock from when it sent the
/// record.
inline constexpr core::Duration NodeLease = std::chrono::seconds(7);

/// Time from reading a node's record until another node treats its lease as
/// expired: the lease, 2% for drift between the two clocks, and 100 ms for the
/// reader to be scheduled.
inline constexpr core::Duration NodeLapseTimeout =
    NodeLease + NodeLease / 50 + std::chrono::milliseconds(100);

/// The newest record of a node, as read from the log.
struct Member {
  NodeRecord Record;
  core::TimePoint ReadAt{};
  /// Earlier incarnations of the node, the latest ones. Only needed for records
  /// without a generation.
  std::deque<std::uint64_t> FormerIncarnations;
  bool isLapsed(core::TimePoint now) const {
    return now - ReadAt > NodeLapseTimeout;
  }
};

/// Current state of the fleet, folded from the records of its log. Holdings are
/// appended only if the log still ends where their writer had read it, so every
/// record in the log is valid. If the log enters another era, assignments of
/// earlier ones only route requests until holders have claimed their keys.
class FleetLedger {
public:
  /// Ignores a record that is older than the known one of the same incarnation,
  /// and one of an earlier incarnation: an append may be delayed past a later
  /// one. If such a record counted, released keys that the earlier incarnation
  /// told of could be reassigned while the later one grants them. If readers
  /// disagreed on which incarnation is the earlier one, some would take the
  /// live one for lost; so the order is in the records, not in what was read
  /// before.
  void applyNode(const NodeRecord &record, core::TimePoint readAt);
  void removeNode(std::string_view name);
  void applyHoldings(std::string_view service, HoldingPart part);
  void applyClaim(HoldingClaim claim);
  void setEnd(core::Offset end) { End = end; }

  /// Begins \p era of the log, which was first seen at \p now. Its records are
  /// applied from now on, those of other eras are not.
  void enterEra(core::LogEra era, core::TimePoint now);

  /// Sets the data centres that operators have taken out of service.
  void setDataCentresOut(std::set<std::string, std::less<>> names) {
    DataCentresOut = std::move(names);
  }
  bool isDataCentreOut(std::string_view dataCentre) const {
    return DataCentresOut.contains(dataCentre);
  }

  /// Offset of the next record in the log.
  core::Offset end() const { return End; }
  core::LogEra era() const { return Era; }
  /// Returns the token of an assignment that is appended at the end.
  FencingToken nextToken() const { return makeToken(Era, End); }
  const Member *findMember(std::string_view name) const;
  const std::map<std::string, Member, std::less<>> &members() const {
    return Members;
  }
  /// Returns the assignments sorted by key; empty before the first one.
  std::span<const Holding> holdingsOf(std::string_view service) const;
  /// Returns the assignments with those of earlier eras for keys that have none
  /// in this one.
  std::vector<Holding> routingRowsOf(std::string_view service) const;

  bool hasClaimOf(std::string_view node, std::string_view service) const;
  /// Returns which keys of \p service may be assigned to other holders.
  AssignableKeys assignableKeys(std::string_view service,
                                core::TimePoint now) const;

  /// Returns whether \p member may receive keys or other new work: its upstream
  /// is ready, its lease is current and its data centre is in service.
  bool isEligible(const Member &member, core::TimePoint now) const;

  /// Returns the eligible members of \p service, sorted by name.
  std::vector<const Member *> eligible(std::string_view service,
                                       core::TimePoint now) const;

private:
  struct ServiceHoldings {
    EraInventory Inventory;
    /// Assignments of earlier eras.
    std::vector<Holding> Former;
  };

  std::map<std::string, Member, std::less<>> Members;
  std::map<std::string, ServiceHoldings, std::less<>> Holdings;
  std::set<std::string, std::less<>> DataCentresOut;
  core::Offset End = 0;
  core::LogEra Era = 0;
  core::TimePoint EraSeenAt{};
};

} // namespace acaciaroad::holdings

#endif
