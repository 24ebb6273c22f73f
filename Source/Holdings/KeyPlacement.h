/// \file
/// Assignment of free keys to nodes, and operations on key ranges.

#ifndef ACACIAROAD_HOLDINGS_KEYPLACEMENT_H
#define ACACIAROAD_HOLDINGS_KEYPLACEMENT_H

#include <span>
#include <vector>

#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// Returns the parts of \p range that \p taken doesn't cover.
std::vector<KeyRange> subtract(const KeyRange &range,
                               std::span<const KeyRange> taken);

/// Returns the parts of \p rows that \p taken doesn't cover.
std::vector<Holding> without(std::span<const Holding> rows,
                             std::span<const KeyRange> taken);

/// Returns the number of keys that \p node holds in \p rows.
Key countKeys(std::span<const Holding> rows, std::string_view node);

/// Assigns \p free to \p recipients under \p token so that their numbers of
/// keys, with those of \p rows, become as equal as possible. The recipient that
/// is furthest below the common level comes first. \p recipients must not be
/// empty.
std::vector<Holding> distributeKeys(std::span<const Holding> free,
                                    std::span<const Holding> rows,
                                    std::span<const Member *const> recipients,
                                    FencingToken token);

/// Returns the parts of \p after that differ from those of \p before.
std::vector<HoldingPart> changedParts(std::span<const Holding> before,
                                      std::span<const Holding> after);

/// Sorts \p rows by key and merges adjacent ranges with the same holder, token
/// and handover.
void normalize(std::vector<Holding> &rows);

} // namespace acaciaroad::holdings

#endif
