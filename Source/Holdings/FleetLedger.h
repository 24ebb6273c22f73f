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
/// record in the log is valid.
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
  void setEnd(core::Offset end) { End = end; }

  /// Sets the data centres that operators have taken out of service.
  void setDataCentresOut(std::set<std::string, std::less<>> names) {
    DataCentresOut = std::move(names);
  }
  bool isDataCentreOut(std::string_view dataCentre) const {
    return DataCentresOut.contains(dataCentre);
  }

  /// Offset of the next record in the log.
  core::Offset end() const { return End; }
  const Member *findMember(std::string_view name) const;
  const std::map<std::string, Member, std::less<>> &members() const {
    return Members;
  }
  /// Returns the assignments sorted by key; empty before the first one.
  std::span<const Holding> holdingsOf(std::string_view service) const;

  /// Returns whether \p member may receive keys or other new work: its upstream
  /// is ready, its lease is current and its data centre is in service.
  bool isEligible(const Member &member, core::TimePoint now) const;

  /// Returns the eligible members of \p service, sorted by name.
  std::vector<const Member *> eligible(std::string_view service,
                                       core::TimePoint now) const;

private:
  struct ServiceHoldings {
    std::map<Key, std::vector<Holding>> Parts;
    /// Assignments of all parts, sorted and merged.
    std::vector<Holding> Rows;
  };

  std::map<std::string, Member, std::less<>> Members;
  std::map<std::string, ServiceHoldings, std::less<>> Holdings;
  std::set<std::string, std::less<>> DataCentresOut;
  core::Offset End = 0;
};

} // namespace acaciaroad::holdings

#endif
