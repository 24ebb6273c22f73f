#include "Holdings/OrphanWatch.h"

#include <algorithm>
#include <chrono>

#include "Holdings/KeyPlacement.h"

namespace acaciaroad::holdings {

namespace {

using std::chrono::milliseconds;

/// Time for all upstreams of a starting fleet to join before the initial
/// assignment of keys; more than one heartbeat interval.
constexpr core::Duration InitialAssignmentDelay = milliseconds(2500);

/// Additional delay of each further node of a service before it reassigns
/// orphaned keys, so that usually only the first one does.
constexpr core::Duration TurnInterval = milliseconds(300);

} // namespace

std::vector<Holding> findOrphans(const FleetLedger &ledger,
                                 std::string_view service,
                                 std::string_view self, core::TimePoint now) {
  std::vector<Holding> out;
  std::vector<KeyRange> known;
  for (const Holding &it : ledger.holdingsOf(service)) {
    known.push_back(it.Keys);
    const Member *owner = ledger.findMember(it.Node);
    if ((owner && !owner->isLapsed(now)) || it.Node == self)
      continue;
    out.push_back(it);
    out.back().Handover.clear();
  }
  for (const KeyRange &it : subtract({0, KeyCount - 1}, known))
    out.push_back({it, {}, {}, 0, {}});
  return out;
}

void OrphanWatch::update(const FleetLedger &ledger, std::string_view service,
                         std::string_view self, core::TimePoint now) {
  if (ledger.eligible(service, now).empty()) {
    EligibleSince.reset();
    OrphansSince.reset();
    return;
  }
  if (!EligibleSince)
    EligibleSince = now;
  if (findOrphans(ledger, service, self, now).empty())
    OrphansSince.reset();
  else if (!OrphansSince)
    OrphansSince = now;
}

bool OrphanWatch::isTurn(const FleetLedger &ledger, std::string_view service,
                         std::string_view self, core::TimePoint now) const {
  const bool isFirst = ledger.holdingsOf(service).empty();
  if (!OrphansSince || !EligibleSince ||
      (isFirst && now - *EligibleSince < InitialAssignmentDelay))
    return false;
  const auto candidates = ledger.eligible(service, now);
  const auto it = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const Member *member) { return member->Record.Name == self; });
  return it != candidates.end() &&
         now - *OrphansSince >= TurnInterval * (it - candidates.begin());
}

} // namespace acaciaroad::holdings
