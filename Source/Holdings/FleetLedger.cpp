#include "Holdings/FleetLedger.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Holdings/KeyPlacement.h"

namespace acaciaroad::holdings {

namespace {

/// Records are delayed by seconds at most, in which a node restarts a few
/// times.
constexpr std::size_t MaxFormerIncarnations = 8;

/// Returns whether the log had a later record of the node before \p record.
bool isOutdated(const NodeRecord &record, const Member &known) {
  if (known.Record.Incarnation == record.Incarnation)
    return known.Record.Sequence > record.Sequence;
  if (known.Record.Generation != 0 && record.Generation != 0)
    return std::tie(known.Record.Generation, known.Record.Incarnation) >
           std::tie(record.Generation, record.Incarnation);
  const auto &former = known.FormerIncarnations;
  return std::find(former.begin(), former.end(), record.Incarnation) !=
         former.end();
}

} // namespace

void FleetLedger::applyNode(const NodeRecord &record, core::TimePoint readAt) {
  const auto [it, isNew] = Members.try_emplace(record.Name);
  Member &member = it->second;
  if (!isNew && isOutdated(record, member))
    return;
  // A reader of an earlier release drops the generation from renewals.
  std::uint64_t generation = record.Generation;
  if (!isNew && member.Record.Incarnation == record.Incarnation) {
    generation = std::max(generation, member.Record.Generation);
  } else if (!isNew) {
    member.FormerIncarnations.push_back(member.Record.Incarnation);
    if (member.FormerIncarnations.size() > MaxFormerIncarnations)
      member.FormerIncarnations.pop_front();
  }
  member.Record = record;
  member.Record.Generation = generation;
  member.ReadAt = readAt;
}

void FleetLedger::removeNode(std::string_view name) {
  if (const auto it = Members.find(name); it != Members.end())
    Members.erase(it);
}

void FleetLedger::applyHoldings(std::string_view service, HoldingPart part) {
  Holdings[std::string(service)].Inventory.applyPart(std::move(part));
}

void FleetLedger::applyClaim(HoldingClaim claim) {
  Holdings[claim.Service].Inventory.applyClaim(claim.Node,
                                               std::move(claim.Rows));
}

void FleetLedger::enterEra(core::LogEra era, core::TimePoint now) {
  Era = era;
  EraSeenAt = now;
  End = 0;
  for (auto &[service, it] : Holdings) {
    it.Former = routingRowsOf(service);
    it.Inventory = {};
  }
}

const Member *FleetLedger::findMember(std::string_view name) const {
  const auto it = Members.find(name);
  return it == Members.end() ? nullptr : &it->second;
}

std::span<const Holding>
FleetLedger::holdingsOf(std::string_view service) const {
  const auto it = Holdings.find(service);
  if (it == Holdings.end())
    return {};
  return it->second.Inventory.rows();
}

std::vector<Holding>
FleetLedger::routingRowsOf(std::string_view service) const {
  const auto it = Holdings.find(service);
  if (it == Holdings.end())
    return {};
  const auto rows = it->second.Inventory.rows();
  std::vector<Holding> out(rows.begin(), rows.end());
  if (!it->second.Former.empty()) {
    addUncovered(out, it->second.Former);
    normalize(out);
  }
  return out;
}

bool FleetLedger::hasClaimOf(std::string_view node,
                             std::string_view service) const {
  const auto it = Holdings.find(service);
  return it != Holdings.end() && it->second.Inventory.hasClaimOf(node);
}

AssignableKeys FleetLedger::assignableKeys(std::string_view service,
                                           core::TimePoint now) const {
  const auto it = Holdings.find(service);
  static const EraInventory empty;
  return holdings::assignableKeys(
      Era, EraSeenAt, it == Holdings.end() ? empty : it->second.Inventory, now);
}

bool FleetLedger::isEligible(const Member &member, core::TimePoint now) const {
  return member.Record.State == UpstreamState::Ready && !member.isLapsed(now) &&
         !isDataCentreOut(member.Record.DataCentre);
}

std::vector<const Member *> FleetLedger::eligible(std::string_view service,
                                                  core::TimePoint now) const {
  std::vector<const Member *> out;
  for (const auto &[name, it] : Members)
    if (it.Record.Service == service && isEligible(it, now))
      out.push_back(&it);
  return out;
}

} // namespace acaciaroad::holdings
