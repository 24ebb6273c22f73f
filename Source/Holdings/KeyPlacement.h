/// \file
/// Who is given keys that have no holder.

#ifndef ACACIAROAD_HOLDINGS_KEYPLACEMENT_H
#define ACACIAROAD_HOLDINGS_KEYPLACEMENT_H

#include <span>
#include <vector>

#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// Returns the parts of \p range that no range of \p taken covers.
std::vector<KeyRange> subtract(const KeyRange &range,
                               std::span<const KeyRange> taken);

/// Returns the parts of \p rows that no range of \p taken covers.
std::vector<Holding> without(std::span<const Holding> rows,
                             std::span<const KeyRange> taken);

/// Number of keys that \p node holds in \p rows.
Key countKeys(std::span<const Holding> rows, std::string_view node);

/// Gives \p free to \p recipients so that their numbers of keys, with those of
/// \p rows, come as close to each other as the free keys allow; each piece
/// goes to the recipient that lacks most. \p recipients must not be empty.
std::vector<Holding> spread(std::span<const Holding> free,
                            std::span<const Holding> rows,
                            std::span<const Member *const> recipients,
                            FencingToken token);

/// Returns the parts of \p after that differ from those of \p before.
std::vector<HoldingPart> changedParts(std::span<const Holding> before,
                                      std::span<const Holding> after);

/// Sorts rows by key and joins neighbours that differ in nothing else.
void normalize(std::vector<Holding> &rows);

} // namespace acaciaroad::holdings

#endif
