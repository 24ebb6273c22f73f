/// \file
/// Restoring the key assignments when the log enters another era.

#ifndef ACACIAROAD_HOLDINGS_ERAINVENTORY_H
#define ACACIAROAD_HOLDINGS_ERAINVENTORY_H

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"
#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// The key assignments of one service in one era of the log: the changes that
/// were appended, and what holders have claimed. A change wins over claims,
/// wherever they are in the log, so that each reader gets the same rows.
///
/// Load: a fleet under its usual load, whose keys stay with their holders.
class EraInventory {
public:
  void applyPart(HoldingPart part);
  /// Sets the keys that \p node claims.
  void applyClaim(std::string_view node, std::vector<Holding> rows);
  bool hasClaimOf(std::string_view node) const { return Claims.contains(node); }

  /// Returns the assignments, sorted by key and merged.
  std::span<const Holding> rows() const;
  /// Returns whether each key has a row.
  bool isWhole() const;

private:
  std::map<Key, std::vector<Holding>> Parts;
  std::map<std::string, std::vector<Holding>, std::less<>> Claims;
  /// Computed from the parts and claims when it is asked for.
  mutable std::vector<Holding> Rows;
  mutable bool IsStale = false;
};

/// Adds the parts of \p extra that \p rows doesn't cover. \p rows must be
/// sorted by key, without overlaps. If rows of \p extra overlap, the first key
/// decides, and then the higher token.
void addUncovered(std::vector<Holding> &rows, std::vector<Holding> extra);

/// Returns the rows of \p own that their node may claim at \p now: none after
/// the end of its lease, because other nodes may have taken them over since;
/// and none that it withholds, because it may have told others so.
std::vector<Holding> claimableRows(std::span<const Holding> own,
                                   std::span<const KeyRange> withheld,
                                   core::TimePoint authorityUntil,
                                   core::TimePoint now);

/// Which keys may be assigned to other holders.
enum class AssignableKeys : std::uint8_t {
  None,
  /// Only those without a holder.
  Orphans,
  All,
};

/// Returns which keys may be assigned at \p now in an \p era that this node
/// has first seen at \p since. Before the inventory is whole, an unclaimed key
/// may still be granted by a node that doesn't know of the era, to the end of a
/// lease that it has renewed before.
AssignableKeys assignableKeys(core::LogEra era, core::TimePoint since,
                              const EraInventory &inventory,
                              core::TimePoint now);

} // namespace acaciaroad::holdings

#endif
