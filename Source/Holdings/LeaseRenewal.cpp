#include "Holdings/LeaseRenewal.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Holdings/RenewalBatch.h"

namespace acaciaroad::holdings {

namespace {

/// A third of the lease, to tolerate two lost renewals.
constexpr core::Duration RenewInterval = NodeLease / 3;

/// Renewal interval of nodes without keys, whose records only show that they
/// are alive. Shorter than the lease, so that other nodes keep reading the log
/// through them.
constexpr core::Duration KeylessRenewInterval = std::chrono::seconds(5);

/// Time until a record that was neither acknowledged nor read back is sent
/// again; several round trips to the log.
constexpr core::Duration RecordRetryInterval = std::chrono::milliseconds(400);

bool isSame(NodeRecord a, NodeRecord b) {
  a.Sequence = 0;
  b.Sequence = 0;
  return a == b;
}

} // namespace

bool isRenewal(const NodeRecord &record, const FleetLedger &ledger) {
  const Member *known = ledger.findMember(record.Name);
  return known != nullptr && isSame(known->Record, record);
}

std::optional<NodeRecord> LeaseRenewal::next(const NodeRecord &present,
                                             const FleetLedger &ledger,
                                             bool isKeyless,
                                             core::TimePoint now) {
  if (Generation == 0)
    Generation = ledger.nextToken();
  NodeRecord record = present;
  record.Generation = Generation;
  const core::Duration age = now - LastRecordAt;
  Interval = isKeyless ? KeylessRenewInterval : RenewInterval;
  const core::Duration retryInterval =
      IsAcknowledged ? Interval : RecordRetryInterval;
  const bool isDue = isRenewal(record, ledger)
                         ? age >= Interval || (Round && now >= *Round)
                         : !isSame(LastRecord, record) || age >= retryInterval;
  if (!isDue)
    return std::nullopt;
  Round.reset();
  IsAcknowledged = false;
  LastRecord = std::move(record);
  LastRecord.Sequence = NextSequence++;
  LastRecordAt = now;
  return LastRecord;
}

void LeaseRenewal::joinRound(core::TimePoint round) {
  const core::TimePoint latest = LastRecordAt + Interval;
  if (round <= latest)
    Round = round + RenewalRound * ((latest - round) / RenewalRound);
}

void LeaseRenewal::enterEra(core::TimePoint now) {
  Sent.clear();
  IsAcknowledged = false;
  Round = now;
}

void LeaseRenewal::sent(std::uint64_t sequence, core::TimePoint at) {
  Sent.push_back({sequence, at});
}

void LeaseRenewal::ledgerChanged(const NodeRecord *read,
                                 std::uint64_t incarnation) {
  if (read == nullptr)
    return;
  if (read->Incarnation != incarnation) {
    // A delayed record of an earlier incarnation; the next one gets ahead of
    // it.
    if (read->Generation == Generation)
      Generation = 0;
    return;
  }
  for (const SentRecord &it : Sent)
    if (it.Sequence == read->Sequence)
      AuthorityUntil = std::max(AuthorityUntil, it.Sent + NodeLease);
  std::erase_if(Sent,
                [&](const auto &it) { return it.Sequence <= read->Sequence; });
}

} // namespace acaciaroad::holdings
