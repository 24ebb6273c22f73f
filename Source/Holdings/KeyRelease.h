/// \file
/// Keys that an upstream is to let go.

#ifndef ACACIAROAD_HOLDINGS_KEYRELEASE_H
#define ACACIAROAD_HOLDINGS_KEYRELEASE_H

#include <span>
#include <string>
#include <vector>

#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// Keys that their holder does not hold any more and that may be given on.
struct ReleasedKeys {
  /// As the log has it, with what the holder gave for the next one.
  Holding Row;
  /// Node that is to get them; empty for whoever has the fewest.
  std::string Target;
};

/// The keys that one life of an upstream is to let go: they are left out of the
/// next grant, and are released once a heartbeat after it doesn't report them.
/// They stay withheld until the log names another holder.
class KeyRelease {
public:
  /// Leaves the keys of \p row, a part of what the log has, out of grants from
  /// now on.
  void plan(const Holding &row, std::string target);

  /// Leaves keys out that the upstream doesn't hold.
  void withhold(const Holding &row);

  bool isIdle() const { return Outgoing.empty(); }

  /// All keys that are to go.
  std::vector<KeyRange> ranges() const;
  /// Those that a grant has been without.
  std::vector<KeyRange> withheld() const;

  /// A grant without the keys is given.
  void granted();

  /// Takes over what the upstream holds and has freed.
  void applyHeartbeat(const Heartbeat &heartbeat);

  /// Forgets what \p own has no more under the same token.
  void keepOnly(std::span<const Holding> own);

  /// The upstream has started anew.
  void clear();

  /// Returns the parts of \p own that are released.
  std::vector<ReleasedKeys> released(std::span<const Holding> own) const;

private:
  struct Range {
    KeyRange Keys;
    FencingToken Token = 0;
    std::string Target;
    /// A grant without them has been given.
    bool Withheld = false;
    bool Released = false;
  };

  static bool isOf(const Range &range, const Holding &row) {
    return range.Token == row.Token && range.Keys.intersects(row.Keys);
  }

  std::vector<Range> Outgoing;
  std::vector<FreedKeys> Freed;
};

} // namespace acaciaroad::holdings

#endif
