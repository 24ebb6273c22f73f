/// \file
/// Follows a keyed log.

#ifndef ACACIAROAD_FEED_KEYEDFEED_H
#define ACACIAROAD_FEED_KEYEDFEED_H

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Feed/FeedTypes.h"
#include "Net/Timeout.h"

namespace acaciaroad::feed {

struct FeedHooks {
  /// The newest record of every key; others no longer exist. It holds all that
  /// the log held at some moment after \p requestedAt.
  std::function<void(std::vector<KeyedRecord>, core::Offset end,
                     core::TimePoint requestedAt)>
      OnSnapshot;
  /// Further records up to the end of the log, perhaps none. All up to \p end
  /// was known to the log at some moment after \p requestedAt.
  std::function<void(std::vector<KeyedRecord>, core::Offset end,
                     core::TimePoint requestedAt)>
      OnRecords;
  /// The log can be read again, or cannot be read.
  std::function<void(bool, std::string_view detail)> OnReachabilityChanged;
  /// One record was left out, since it can't be read; the others hold.
  std::function<void(const core::Error &)> OnDecodeError;
};

struct PollTiming {
  /// How long the log may hold a read that finds nothing new.
  core::Duration Wait{};
  /// Between the end of a read and the next one.
  core::Duration Pause{};
};

/// Starts from the newest record of each key and reads on from there; starts
/// anew when the log has dropped what comes next. Lives on one event loop.
class KeyedFeed {
public:
  KeyedFeed(boost::asio::io_context &loop, KeyedLog log, PollTiming timing,
            FeedHooks hooks);

  void start();

  void setPollTiming(PollTiming timing) { Timing = timing; }

  /// This node has appended \p records at \p at, the end of the log at some
  /// moment after \p requestedAt. Saves a read if all before them is known.
  void appended(const std::vector<KeyedRecord> &records, core::Offset at,
                core::TimePoint requestedAt);

  /// Reads at once, or right after the read that is under way.
  void readNow();

private:
  void restart();
  void readPage();
  void onPage(core::Result<NewestPage> page);
  void readTail();
  void onTail(core::Result<Tail> tail, core::TimePoint requestedAt);
  void onFailure(const core::Error &error);
  void scheduleRead(core::Duration pause);
  void continueReading();

  KeyedLog Log;
  PollTiming Timing;
  FeedHooks Hooks;
  net::Timeout Timer;
  std::vector<KeyedRecord> Snapshot;
  /// Read, but not up to the end of the log.
  std::vector<KeyedRecord> PendingRecords;
  core::Offset SnapshotEnd = 0;
  core::TimePoint SnapshotRequestedAt{};
  core::Offset Position = 0;
  bool IsFollowing = false;
  bool IsReading = false;
  bool IsImmediateReadRequested = false;
  bool IsReachable = false;
  int ConsecutiveFailures = 0;
};

} // namespace acaciaroad::feed

#endif
