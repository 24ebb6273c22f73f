/// \file
/// When a node renews its record, and how long its lease holds.

#ifndef ACACIAROAD_HOLDINGS_LEASERENEWAL_H
#define ACACIAROAD_HOLDINGS_LEASERENEWAL_H

#include <cstdint>
#include <optional>
#include <vector>

#include "Core/Clock.h"
#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// The records of one incarnation of a node. The lease counts from the sending
/// of the newest one that has been read back.
class LeaseRenewal {
public:
  /// Returns \p present with its sequence if it is to be appended now: it is
  /// not what the log has, or the lease is to be renewed. A node that
  /// \p isKeyless holds nothing by its lease and renews it less often.
  std::optional<NodeRecord> next(const NodeRecord &present,
                                 const FleetLedger &ledger, bool isKeyless,
                                 core::TimePoint now);

  /// The record was sent at that moment.
  void sent(std::uint64_t sequence, core::TimePoint at);

  /// Takes over which records of \p incarnation have been read back.
  void ledgerChanged(const NodeRecord *read, std::uint64_t incarnation);

  /// Keys may be granted up to it.
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
