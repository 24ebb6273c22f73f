/// \file
/// Detection of keys without a live holder.

#ifndef ACACIAROAD_HOLDINGS_ORPHANWATCH_H
#define ACACIAROAD_HOLDINGS_ORPHANWATCH_H

#include <optional>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// Returns the keys of \p service that never had a holder or whose holder's
/// lease has expired. Excludes the keys of \p self, which knows the state of
/// its own upstream without the log.
std::vector<Holding> findOrphans(const FleetLedger &ledger,
                                 std::string_view service,
                                 std::string_view self, core::TimePoint now);

/// Decides when a node may reassign orphaned keys. Each eligible node of the
/// service waits longer than the one before it in the order of names, so that
/// usually only one proposes a change.
class OrphanWatch {
public:
  void update(const FleetLedger &ledger, std::string_view service,
              std::string_view self, core::TimePoint now);

  /// Returns whether \p self may reassign the orphaned keys now. The initial
  /// assignment waits until all upstreams of a starting fleet had time to join.
  bool isTurn(const FleetLedger &ledger, std::string_view service,
              std::string_view self, core::TimePoint now) const;

private:
  std::optional<core::TimePoint> OrphansSince;
  std::optional<core::TimePoint> EligibleSince;
};

} // namespace acaciaroad::holdings

#endif
