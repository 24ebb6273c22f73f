/// \file
/// Release of keys that leave an upstream.

#ifndef ACACIAROAD_HOLDINGS_KEYRELEASE_H
#define ACACIAROAD_HOLDINGS_KEYRELEASE_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// Why keys may be assigned to another holder.
enum class FreeCause : std::uint8_t {
  /// The holder doesn't report them any more since a grant left them out.
  Released,
  /// The holder's node told so.
  Notice,
  /// The holder sends no heartbeats and its grants have expired.
  UpstreamGone,
  /// The holder was an earlier process of the upstream.
  FormerProcess,
  /// The lease of the holder's node has expired, or there was no holder.
  NoHolder,
};

std::string_view toString(FreeCause cause);

/// Keys that their holder has released and that may be assigned to another one.
struct ReleasedKeys {
  /// The assignment in the log, with the holder's data for the next holder.
  Holding Row;
  /// Node that should receive the keys; if empty, those with the fewest keys.
  std::string Target;
  FreeCause Cause = FreeCause::Released;
};

/// Tracks the keys that one process of an upstream has to release. The next
/// grant omits them, and they count as released once a later heartbeat doesn't
/// report them as held. Grants omit them until the log names another holder.
class KeyRelease {
public:
  /// Starts the release of the keys of \p row, which is part of an assignment
  /// in the log. Grants omit them from now on.
  void plan(const Holding &row, std::string target);

  /// Omits keys from grants that the upstream doesn't hold; they count as
  /// released at once.
  void withhold(const Holding &row);

  bool isIdle() const { return Outgoing.empty(); }

  /// Returns all keys to be released.
  std::vector<KeyRange> ranges() const;
  /// Returns the keys that a grant has already omitted.
  std::vector<KeyRange> withheld() const;

  /// Called when a grant without the keys is given.
  void granted();

  /// Updates the state by the keys that the upstream holds and has freed.
  void applyHeartbeat(const Heartbeat &heartbeat);

  /// Removes keys that \p own doesn't contain with the same token.
  void keepOnly(std::span<const Holding> own);

  /// Called when the upstream has restarted.
  void clear();

  /// Returns the released parts of \p own.
  std::vector<ReleasedKeys> released(std::span<const Holding> own) const;

private:
  struct Range {
    KeyRange Keys;
    FencingToken Token = 0;
    std::string Target;
    /// A grant has omitted the keys.
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
