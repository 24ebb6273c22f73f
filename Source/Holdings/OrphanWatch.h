/// \file
/// Keys that nobody holds, and whose turn it is to give them a holder.

#ifndef ACACIAROAD_HOLDINGS_ORPHANWATCH_H
#define ACACIAROAD_HOLDINGS_ORPHANWATCH_H

#include <optional>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// Returns the keys of \p service whose holder's record has lapsed or that
/// never had a holder, but for those of \p self, which knows better.
std::vector<Holding> findOrphans(const FleetLedger &ledger,
                                 std::string_view service,
                                 std::string_view self, core::TimePoint now);

/// Gives each eligible node of a service its turn at the orphans, the one with
/// the lowest name first, so that mostly one proposes.
class OrphanWatch {
public:
  void update(const FleetLedger &ledger, std::string_view service,
              std::string_view self, core::TimePoint now);

  /// Whether \p self is to give the orphans a holder now. Before the first
  /// division of the keys, all upstreams of a fleet are given time to come.
  bool isTurn(const FleetLedger &ledger, std::string_view service,
              std::string_view self, core::TimePoint now) const;

private:
  std::optional<core::TimePoint> OrphansSince;
  std::optional<core::TimePoint> EligibleSince;
};

} // namespace acaciaroad::holdings

#endif
