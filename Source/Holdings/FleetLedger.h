/// \file
/// The nodes of the fleet and who holds which keys, as the fleet's log says.

#ifndef ACACIAROAD_HOLDINGS_FLEETLEDGER_H
#define ACACIAROAD_HOLDINGS_FLEETLEDGER_H

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

/// How long a node's record holds, on the node's own clock from its sending.
inline constexpr core::Duration NodeLease = std::chrono::seconds(7);

/// Time after which another node takes a record to have lapsed, from reading
/// it: the lease, the drift between two clocks, and the reader's wake-up.
inline constexpr core::Duration NodeLapseTimeout =
    NodeLease + NodeLease / 50 + std::chrono::milliseconds(100);

/// A node as another one sees it.
struct Member {
  NodeRecord Record;
  /// When the newest record was read.
  core::TimePoint ReadAt{};
  bool isLapsed(core::TimePoint now) const {
    return now - ReadAt > NodeLapseTimeout;
  }
};

/// Folds the fleet's log. Records are appended on condition of the log's end,
/// so each record that is in the log is valid.
class FleetLedger {
public:
  void applyNode(const NodeRecord &record, core::TimePoint readAt);
  void removeNode(std::string_view name);
  void applyHoldings(std::string_view service, HoldingPart part);
  void setEnd(core::Offset end) { End = end; }

  /// Data centres that operators have taken out.
  void setDataCentresOut(std::set<std::string, std::less<>> names) {
    DataCentresOut = std::move(names);
  }
  bool isDataCentreOut(std::string_view dataCentre) const {
    return DataCentresOut.contains(dataCentre);
  }

  /// Offset of the next record.
  core::Offset end() const { return End; }
  const Member *findMember(std::string_view name) const;
  const std::map<std::string, Member, std::less<>> &members() const {
    return Members;
  }
  /// In the order of keys; empty before the first assignment.
  std::span<const Holding> holdingsOf(std::string_view service) const;

  /// Whether \p member may be given keys or other new work at \p now.
  bool isEligible(const Member &member, core::TimePoint now) const;

  /// Returns the eligible members of \p service in the order of their names.
  std::vector<const Member *> eligible(std::string_view service,
                                       core::TimePoint now) const;

private:
  struct ServiceHoldings {
    std::map<Key, std::vector<Holding>> Parts;
    /// Of all parts.
    std::vector<Holding> Rows;
  };

  std::map<std::string, Member, std::less<>> Members;
  std::map<std::string, ServiceHoldings, std::less<>> Holdings;
  std::set<std::string, std::less<>> DataCentresOut;
  core::Offset End = 0;
};

} // namespace acaciaroad::holdings

#endif
