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

/// Returns whether \p record only renews the lease: the log has the same state
/// of the node.
bool isRenewal(const NodeRecord &record, const FleetLedger &ledger);

/// Schedules the records of one incarnation of a node. The lease runs from the
/// time at which the newest record that was read back from the log was sent.
///
/// The generation of the records is the end of the log, as read when the node
/// started. Earlier incarnations read it before, so that theirs is lower, or
/// the same if nothing of them was in the log yet. In that case, one of their
/// appends may still be delayed, and a new generation is chosen if its record
/// turns up.
class LeaseRenewal {
public:
  /// Returns \p present with a generation and a sequence number if it is due to
  /// be appended: because it differs from the log, or to renew the lease. \p
  /// isKeyless selects the longer renewal interval of nodes whose service
  /// doesn't assign keys.
  std::optional<NodeRecord> next(const NodeRecord &present,
                                 const FleetLedger &ledger, bool isKeyless,
                                 core::TimePoint now);

  /// Moves the next renewal forward to the last round that isn't later than
  /// the renewal interval allows. Rounds follow \p round at intervals of
  /// RenewalRound.
  void joinRound(core::TimePoint round);

  /// Makes the next record due at \p now.
  void renewAt(core::TimePoint now) { Round = now; }

  /// The log has entered another era. Only records that are sent from now on
  /// extend the lease, and the next one is due at \p now.
  void enterEra(core::TimePoint now);

  /// Called when the record is sent to the log.
  void sent(std::uint64_t sequence, core::TimePoint at);

  /// Called when the log has acknowledged the record. It is not sent again,
  /// even if it takes long until it is read back.
  void acknowledged(std::uint64_t sequence) {
    IsAcknowledged = IsAcknowledged || isLast(sequence);
  }

  /// Returns the last record if the log has acknowledged it.
  const NodeRecord *acknowledgedRecord() const {
    return IsAcknowledged ? &LastRecord : nullptr;
  }

  /// Returns whether \p sequence is the number of the last record.
  bool isLast(std::uint64_t sequence) const {
    return sequence + 1 == NextSequence;
  }

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
  /// 0 until it is chosen.
  std::uint64_t Generation = 0;
  std::uint64_t NextSequence = 1;
  NodeRecord LastRecord;
  core::TimePoint LastRecordAt{};
  core::Duration Interval{};
  /// The log has acknowledged the last record.
  bool IsAcknowledged = false;
  /// Time of the next renewal, if it is before the end of the interval.
  std::optional<core::TimePoint> Round;
  core::TimePoint AuthorityUntil{};
};

} // namespace acaciaroad::holdings

#endif
