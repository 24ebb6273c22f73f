/// \file
/// Timing of log reads through relays.

#ifndef ACACIAROAD_FEED_RELAYTIMING_H
#define ACACIAROAD_FEED_RELAYTIMING_H

#include "Core/Clock.h"
#include "Feed/KeyedFeed.h"

namespace acaciaroad::feed {

/// A relay has to answer within this time; round trips between nodes take
/// milliseconds.
inline constexpr core::Duration RelayTimeout = std::chrono::milliseconds(150);

/// Relays that one read asks before it goes to the log.
inline constexpr int MaxRelaysPerRead = 2;

/// Polling of a log and the accepted age of relayed data, such that a node
/// follows the log within a given time. A relay that is cut off from the log
/// still answers, and only the age of its data shows that newer records may
/// exist. Few nodes should turn to the log itself meanwhile, so a relay polls
/// often enough that its data never gets too old while it reaches the log.
struct RelayTiming {
  /// Polling by nodes that read the log itself.
  PollTiming Direct;
  /// Polling by nodes that read through a relay. Data of a relay that is older
  /// than its MaxAge isn't accepted.
  PollTiming Relayed;

  /// Returns the timing with which a node that reaches the log knows of a
  /// record within \p bound, whatever its relays do. Shorter bounds than 1.2 s
  /// are treated as 1.2 s, as polling for them would cost too many calls.
  static RelayTiming forBound(core::Duration bound);
};

} // namespace acaciaroad::feed

#endif
