#include "Holdings/EraInventory.h"

#include <algorithm>
#include <utility>

#include "Holdings/FleetLedger.h"
#include "Holdings/KeyPlacement.h"

namespace acaciaroad::holdings {

void EraInventory::applyPart(HoldingPart part) {
  Parts[part.Number] = std::move(part.Rows);
  IsStale = true;
}

void EraInventory::applyClaim(std::string_view node,
                              std::vector<Holding> rows) {
  Claims.insert_or_assign(std::string(node), std::move(rows));
  IsStale = true;
}

std::span<const Holding> EraInventory::rows() const {
  if (!std::exchange(IsStale, false))
    return Rows;
  Rows.clear();
  for (const auto &[number, it] : Parts)
    Rows.insert(Rows.end(), it.begin(), it.end());
  std::vector<Holding> claimed;
  for (const auto &[node, it] : Claims)
    claimed.insert(claimed.end(), it.begin(), it.end());
  addUncovered(Rows, std::move(claimed));
  normalize(Rows);
  return Rows;
}

bool EraInventory::isWhole() const {
  Key n = 0;
  for (const Holding &it : rows())
    n += it.Keys.size();
  return n == KeyCount;
}

void addUncovered(std::vector<Holding> &rows, std::vector<Holding> extra) {
  if (extra.empty())
    return;
  std::sort(extra.begin(), extra.end(), [](const auto &a, const auto &b) {
    return a.Keys.From != b.Keys.From ? a.Keys.From < b.Keys.From
                                      : a.Token > b.Token;
  });
  std::vector<Holding> added;
  // Keys below are covered by an earlier row of extra.
  Key next = 0;
  auto covering = rows.begin();
  for (Holding &it : extra) {
    Key from = std::max(it.Keys.From, next);
    while (from <= it.Keys.To) {
      while (covering != rows.end() && covering->Keys.To < from)
        ++covering;
      if (covering != rows.end() && covering->Keys.From <= from) {
        from = covering->Keys.To + 1;
        continue;
      }
      const Key to = covering == rows.end()
                         ? it.Keys.To
                         : std::min(it.Keys.To, covering->Keys.From - 1);
      added.push_back(it);
      added.back().Keys = {from, to};
      from = to + 1;
    }
    next = std::max(next, it.Keys.To + 1);
  }
  rows.insert(rows.end(), std::make_move_iterator(added.begin()),
              std::make_move_iterator(added.end()));
}

std::vector<Holding> claimableRows(std::span<const Holding> own,
                                   std::span<const KeyRange> withheld,
                                   core::TimePoint authorityUntil,
                                   core::TimePoint now) {
  if (now >= authorityUntil)
    return {};
  return without(own, withheld);
}

AssignableKeys assignableKeys(core::LogEra era, core::TimePoint since,
                              const EraInventory &inventory,
                              core::TimePoint now) {
  if (era == 0 || inventory.isWhole())
    return AssignableKeys::All;
  return now - since > NodeLapseTimeout ? AssignableKeys::Orphans
                                        : AssignableKeys::None;
}

} // namespace acaciaroad::holdings
