/// \file
/// Renewal of a node's lease.

#ifndef ACACIAROAD_HOLDINGS_LEASERENEWAL_H
#define ACACIAROAD_HOLDINGS_LEASERENEWAL_H

#include <cstdint>
#include <optional>
#include <vector>

#include "Core/Clock.h"
#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// Schedules the records of one incarnation of a node. The lease runs from the
/// time at which the newest record that was read back from the log was sent.
class LeaseRenewal {
public:
  /// Returns \p present with a sequence number if it is due to be appended:
  /// because it differs from the log, or to renew the lease. \p isKeyless
  /// selects the longer renewal interval of nodes whose service doesn't assign
  /// keys.
  std::optional<NodeRecord> next(const NodeRecord &present,
                                 const FleetLedger &ledger, bool isKeyless,
                                 core::TimePoint now);

  /// Called when the record is sent to the log.
  void sent(std::uint64_t sequence, core::TimePoint at);

  /// Extends the lease if \p read, the node's record in the log, is one of
  /// \p incarnation. \p read is null if the log has none.
  void ledgerChanged(const NodeRecord *read, std::uint64_t incarnation);

  /// Returns the end of the lease; no grant may last longer.
  core::TimePoint authorityUntil() const { return AuthorityUntil; }

private:
  struct SentRecord {
    std::uint64_t Sequence = 0;
    core::TimePoint Sent{};
  };

  std::vector<SentRecord> Sent;
  std::uint64_t NextSequence = 1;
  NodeRecord LastRecord;
  core::TimePoint LastRecordAt{};
  core::TimePoint AuthorityUntil{};
};

} // namespace acaciaroad::holdings

#endif
