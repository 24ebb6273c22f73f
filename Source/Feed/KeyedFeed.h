/// \file
/// Reads a keyed log continuously.

#ifndef ACACIAROAD_FEED_KEYEDFEED_H
#define ACACIAROAD_FEED_KEYEDFEED_H

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Feed/FeedTypes.h"
#include "Net/Timeout.h"

namespace acaciaroad::feed {

struct FeedHooks {
  /// The newest record of every key; all other keys are removed. Includes at
  /// least all records that the log had at some time after \p requestedAt.
  std::function<void(std::vector<KeyedRecord>, core::Offset end,
                     core::TimePoint requestedAt)>
      OnSnapshot;
  /// New records up to the end of the log, possibly none. The log ended at
  /// \p end at some time after \p requestedAt.
  std::function<void(std::vector<KeyedRecord>, core::Offset end,
                     core::TimePoint requestedAt)>
      OnRecords;
  /// Whether the log can be read, and the error if not.
  std::function<void(bool, std::string_view detail)> OnReachabilityChanged;
  /// One record could not be decoded and was skipped.
  std::function<void(const core::Error &)> OnDecodeError;
  /// The log has entered a later era, in which its newest records and the
  /// offsets of others may be gone. A snapshot of that era follows.
  std::function<void(core::LogEra)> OnEraChanged = [](core::LogEra) {};
};

struct PollTiming {
  /// Longest time that a long poll waits for new records. A poll waits less if
  /// what is known of the log would get older than this meanwhile.
  core::Duration Wait{};
  /// Time between the end of a read and the start of the next one.
  core::Duration Pause{};
  /// The next read starts earlier if what is known of the log would get older
  /// than this.
  core::Duration MaxAge = core::Duration::max();
};

/// Reads a snapshot of the newest record of each key and then the records that
/// follow. Starts again from a snapshot if the log has trimmed the next
/// records, or if it has entered another era. Failed reads are retried with
/// back-off. All members must be called on the event loop.
class KeyedFeed {
public:
  KeyedFeed(boost::asio::io_context &loop, KeyedLog log, PollTiming timing,
            FeedHooks hooks);

  void start();

  void setPollTiming(PollTiming timing) { Timing = timing; }

  /// Reports that this node appended \p records at \p at, which was the end of
  /// the log at some time after \p requestedAt. Delivers them without a read if
  /// all earlier records were delivered.
  void appended(const std::vector<KeyedRecord> &records, Appended at,
                core::TimePoint requestedAt);

  /// Another node has seen \p era of the log. Asks the log, once, if that is
  /// later than the known one.
  void eraHeard(core::LogEra era);

  /// Starts again from a snapshot.
  void readSnapshot();

  /// Reads now, or right after the read in flight.
  void readNow();

private:
  void restart();
  /// Returns whether what was read in \p era may be delivered. Starts again if
  /// the era is later than the known one and it \p followsEarlierData.
  bool checkEra(core::LogEra era, bool followsEarlierData);
  void readPage();
  void onPage(core::Result<NewestPage> page);
  void readTail();
  /// \p confirmed is a time at which the log had no records after \p tail.
  void onTail(core::Result<Tail> tail, core::TimePoint confirmed);
  core::Duration nextWait() const;
  core::Duration nextPause() const;
  void onFailure(const core::Error &error);
  void scheduleRead(core::Duration pause);
  void continueReading();

  KeyedLog Log;
  PollTiming Timing;
  FeedHooks Hooks;
  net::Timeout Timer;
  std::vector<KeyedRecord> Snapshot;
  /// Records that are held back until the end of the log is reached.
  std::vector<KeyedRecord> PendingRecords;
  core::Offset SnapshotEnd = 0;
  core::TimePoint SnapshotRequestedAt{};
  core::Offset Position = 0;
  /// The known era; none before the first response.
  std::optional<core::LogEra> Era;
  /// The latest era that the log was asked about.
  core::LogEra HeardEra = 0;
  /// The log is known to have ended at the position at some time after this.
  core::TimePoint ConfirmedAt{};
  bool IsFollowing = false;
  bool IsReading = false;
  bool IsImmediateReadRequested = false;
  bool IsSnapshotRequested = false;
  bool IsReachable = false;
  int ConsecutiveFailures = 0;
};

} // namespace acaciaroad::feed

#endif
