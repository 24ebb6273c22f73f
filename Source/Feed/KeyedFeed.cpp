#include "Feed/KeyedFeed.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acaciaroad::feed {

namespace {

/// First pause after a failed read; doubles up to the longest.
constexpr core::Duration FirstRetry = std::chrono::milliseconds(100);
/// Keys that are withdrawn and upstreams that come back are to be known within
/// seconds of the log's return.
constexpr core::Duration LongestRetry = std::chrono::milliseconds(800);

constexpr int MostDoublings = 3;

} // namespace

KeyedFeed::KeyedFeed(boost::asio::io_context &loop, KeyedLog log, FeedPace pace,
                     FeedHooks hooks)
    : Log(std::move(log)), Pace(pace), Hooks(std::move(hooks)), Timer(loop) {}

void KeyedFeed::start() { restart(); }

void KeyedFeed::restart() {
  IsFollowing = false;
  Snapshot.clear();
  Collected.clear();
  SnapshotAsked = core::BootClock::now();
  readPage();
}

void KeyedFeed::readPage() {
  IsReading = true;
  const std::string after = Snapshot.empty() ? "" : Snapshot.back().Key;
  Log.ReadNewest(after, [this](core::Result<NewestPage> page) {
    IsReading = false;
    onPage(std::move(page));
  });
}

void KeyedFeed::onPage(core::Result<NewestPage> page) {
  if (!page) {
    Snapshot.clear();
    onFailure(page.error());
    return;
  }
  for (const core::Error &it : page->Unreadable)
    Hooks.OnUnreadable(it);
  // Pages are no snapshot: what changed since the first one is read again.
  if (Snapshot.empty())
    SnapshotEnd = page->End;
  std::move(page->Records.begin(), page->Records.end(),
            std::back_inserter(Snapshot));
  if (page->HasMore && !page->Records.empty()) {
    readPage();
    return;
  }
  Position = SnapshotEnd;
  IsFollowing = true;
  Hooks.OnSnapshot(std::exchange(Snapshot, {}), SnapshotEnd, SnapshotAsked);
  readTail();
}

void KeyedFeed::readTail() {
  IsReading = true;
  const auto wait =
      std::exchange(IsUrgent, false) ? core::Duration{} : Pace.Wait;
  const auto asked = core::BootClock::now();
  Log.ReadFrom(Position, wait, [this, asked](core::Result<Tail> tail) {
    IsReading = false;
    onTail(std::move(tail), asked);
  });
}

void KeyedFeed::onTail(core::Result<Tail> tail, core::TimePoint asked) {
  if (!tail) {
    if (tail.error().Kind == core::ErrorKind::LogTrimmed)
      restart();
    else
      onFailure(tail.error());
    return;
  }
  Failures = 0;
  if (!std::exchange(IsReachable, true))
    Hooks.OnReachable(true, {});
  for (const core::Error &it : tail->Unreadable)
    Hooks.OnUnreadable(it);
  // An append of this node may have been applied meanwhile.
  if (tail->Next < Position)
    *tail = {{}, Position, Position, tail->Age, {}};
  Position = tail->Next;
  std::move(tail->Records.begin(), tail->Records.end(),
            std::back_inserter(Collected));
  // A part of what came after a snapshot may be older than the snapshot.
  if (tail->Next < tail->End) {
    IsUrgent = true;
    readTail();
    return;
  }
  Hooks.OnRecords(std::exchange(Collected, {}), Position, asked - tail->Age);
  if (IsUrgent)
    readTail();
  else
    schedule(Pace.Pause);
}

void KeyedFeed::appended(const std::vector<KeyedRecord> &records,
                         core::Offset at, core::TimePoint asked) {
  if (!IsFollowing || at != Position || !Collected.empty()) {
    readNow();
    return;
  }
  Position += records.size();
  Hooks.OnRecords(records, Position, asked);
}

void KeyedFeed::onFailure(const core::Error &error) {
  if (std::exchange(IsReachable, false) || Failures == 0)
    Hooks.OnReachable(false, error.Detail);
  const int doublings = std::min(Failures++, MostDoublings);
  schedule(
      std::min<core::Duration>(FirstRetry * (1 << doublings), LongestRetry));
}

void KeyedFeed::schedule(core::Duration pause) {
  Timer.start(pause, [this] { next(); });
}

void KeyedFeed::next() {
  if (IsFollowing)
    readTail();
  else
    restart();
}

void KeyedFeed::readNow() {
  IsUrgent = true;
  if (IsReading)
    return;
  Timer.cancel();
  next();
}

} // namespace acaciaroad::feed
