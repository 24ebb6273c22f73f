#include "Holdings/RenewalBatch.h"

#include <utility>

namespace acaciaroad::holdings {

namespace {

using std::chrono::milliseconds;

/// Wait for further renewals after the first one; covers the ticks at which
/// nodes notice that a renewal is due.
constexpr core::Duration BatchWait = milliseconds(250);

/// Renewals that waited longer are dropped. Their nodes have given up waiting,
/// so they would only prolong the membership of a node that has ended.
constexpr core::Duration MaxRenewalAge = milliseconds(1000);

/// The platform accepts many more records in one append.
constexpr std::size_t MaxRenewals = 256;

} // namespace

bool RenewalBatch::add(Renewal renewal) {
  if (Pending.size() >= MaxRenewals)
    return false;
  Pending.push_back(std::move(renewal));
  return true;
}

std::optional<core::TimePoint> RenewalBatch::dueAt() const {
  if (Pending.empty())
    return std::nullopt;
  return Pending.front().AddedAt + BatchWait;
}

std::vector<RenewalBatch::Renewal> RenewalBatch::take(const FleetLedger &ledger,
                                                      core::TimePoint now) {
  std::vector<Renewal> out;
  for (Renewal &it : std::exchange(Pending, {})) {
    const Member *known = ledger.findMember(it.Record.Name);
    const bool isOutdated =
        known != nullptr &&
        (known->Record.Incarnation != it.Record.Incarnation ||
         known->Record.Sequence >= it.Record.Sequence);
    if (isOutdated || now - it.AddedAt > MaxRenewalAge)
      it.OnDone(std::nullopt);
    else
      out.push_back(std::move(it));
  }
  return out;
}

core::Duration RenewalBatch::untilNextRound(core::TimePoint now) const {
  return RenewalRound - (now - FirstRound) % RenewalRound;
}

} // namespace acaciaroad::holdings
