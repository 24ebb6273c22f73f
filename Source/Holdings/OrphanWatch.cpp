#include "Holdings/OrphanWatch.h"

#include <algorithm>
#include <chrono>

#include "Holdings/KeyPlacement.h"

namespace acaciaroad::holdings {

namespace {

using std::chrono::milliseconds;

/// Time for all upstreams of a fleet that starts to announce themselves before
/// the keys are first divided; more than one heartbeat.
constexpr core::Duration FirstDivisionWait = milliseconds(2500);

/// Each further node of a service waits so much longer before it gives orphaned
/// keys a holder, so that mostly one does.
constexpr core::Duration TurnStep = milliseconds(300);

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
    FirstTakerSince.reset();
    OrphansSince.reset();
    return;
  }
  if (!FirstTakerSince)
    FirstTakerSince = now;
  if (findOrphans(ledger, service, self, now).empty())
    OrphansSince.reset();
  else if (!OrphansSince)
    OrphansSince = now;
}

bool OrphanWatch::isTurn(const FleetLedger &ledger, std::string_view service,
                         std::string_view self, core::TimePoint now) const {
  const bool isFirst = ledger.holdingsOf(service).empty();
  if (!OrphansSince || !FirstTakerSince ||
      (isFirst && now - *FirstTakerSince < FirstDivisionWait))
    return false;
  const auto takers = ledger.eligible(service, now);
  const auto it =
      std::find_if(takers.begin(), takers.end(), [&](const Member *member) {
        return member->Record.Name == self;
      });
  return it != takers.end() &&
         now - *OrphansSince >= TurnStep * (it - takers.begin());
}

} // namespace acaciaroad::holdings
