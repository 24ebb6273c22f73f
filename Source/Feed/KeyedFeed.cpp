#include "Feed/KeyedFeed.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acaciaroad::feed {

namespace {

/// Pause after the first failed read; doubles with each further failure.
constexpr core::Duration InitialBackoff = std::chrono::milliseconds(100);
/// Short, as withdrawn keys and returning upstreams must be known within
/// seconds after an outage of the log.
constexpr core::Duration MaxBackoff = std::chrono::milliseconds(800);

constexpr int MaxBackoffDoublings = 3;

/// Maximum difference of the rates of two clocks, in percent.
constexpr int ClockDriftPercent = 2;

/// Returns a time, as late as is known, at which the log ended at the end of
/// \p tail, the answer to a read that was sent at \p requestedAt.
core::TimePoint confirmedAt(const Tail &tail, core::Offset from,
                            core::Duration wait, core::TimePoint requestedAt,
                            core::TimePoint now) {
  // The log answers a read at its end once there is a record or the wait is
  // over.
  const bool hasWaited =
      !tail.IsRelayed && tail.Next == from && now - requestedAt >= wait;
  if (hasWaited)
    return requestedAt + wait - wait * ClockDriftPercent / 100;
  return requestedAt - tail.Age;
}

} // namespace

KeyedFeed::KeyedFeed(boost::asio::io_context &loop, KeyedLog log,
                     PollTiming timing, FeedHooks hooks)
    : Log(std::move(log)), Timing(timing), Hooks(std::move(hooks)),
      Timer(loop) {}

void KeyedFeed::start() { restart(); }

void KeyedFeed::restart() {
  IsFollowing = false;
  Snapshot.clear();
  PendingRecords.clear();
  IsSnapshotRequested = false;
  SnapshotRequestedAt = core::BootClock::now();
  readPage();
}

bool KeyedFeed::checkEra(core::LogEra era, bool followsEarlierData) {
  if (era > Era.value_or(0)) {
    Era = era;
    // Keeps the hook from starting a second read.
    IsReading = true;
    Hooks.OnEraChanged(era);
    IsReading = false;
    IsSnapshotRequested = false;
    if (followsEarlierData)
      restart();
    return !followsEarlierData;
  }
  Era = Era.value_or(0);
  if (era < *Era) {
    // A relay that hasn't heard of the era yet.
    onFailure({core::ErrorKind::LogUnavailable, "data of an earlier era"});
    return false;
  }
  return true;
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
  if (!checkEra(page->Era, !Snapshot.empty()))
    return;
  for (const core::Error &it : page->Unreadable)
    Hooks.OnDecodeError(it);
  // Pages are read at different times. Reading on from the end that the first
  // page reported covers all changes since.
  if (Snapshot.empty())
    SnapshotEnd = page->End;
  std::move(page->Records.begin(), page->Records.end(),
            std::back_inserter(Snapshot));
  if (page->HasMore && !page->Records.empty()) {
    readPage();
    return;
  }
  Position = SnapshotEnd;
  ConfirmedAt = SnapshotRequestedAt;
  IsFollowing = true;
  Hooks.OnSnapshot(std::exchange(Snapshot, {}), SnapshotEnd,
                   SnapshotRequestedAt);
  readTail();
}

void KeyedFeed::readTail() {
  IsReading = true;
  const auto wait = std::exchange(IsImmediateReadRequested, false)
                        ? core::Duration{}
                        : nextWait();
  const auto requestedAt = core::BootClock::now();
  Log.ReadFrom(
      Position, wait,
      [this, from = Position, wait, requestedAt](core::Result<Tail> tail) {
        IsReading = false;
        const auto now = core::BootClock::now();
        const auto confirmed =
            tail ? confirmedAt(*tail, from, wait, requestedAt, now)
                 : requestedAt;
        onTail(std::move(tail), confirmed);
      });
}

void KeyedFeed::onTail(core::Result<Tail> tail, core::TimePoint confirmed) {
  if (!tail) {
    if (tail.error().Kind == core::ErrorKind::LogTrimmed)
      restart();
    else
      onFailure(tail.error());
    return;
  }
  if (!checkEra(tail->Era, true))
    return;
  if (IsSnapshotRequested) {
    restart();
    return;
  }
  ConsecutiveFailures = 0;
  if (!std::exchange(IsReachable, true))
    Hooks.OnReachabilityChanged(true, {});
  for (const core::Error &it : tail->Unreadable)
    Hooks.OnDecodeError(it);
  // `appended` may have advanced the position during the read.
  if (tail->Next < Position)
    *tail = {{}, Position, Position, tail->Age, {}, tail->IsRelayed, tail->Era};
  Position = tail->Next;
  std::move(tail->Records.begin(), tail->Records.end(),
            std::back_inserter(PendingRecords));
  // A part of the records may be older than those of the snapshot, so they are
  // delivered only once the end is reached.
  if (tail->Next < tail->End) {
    IsImmediateReadRequested = true;
    readTail();
    return;
  }
  ConfirmedAt = confirmed;
  Hooks.OnRecords(std::exchange(PendingRecords, {}), Position, confirmed);
  if (IsImmediateReadRequested)
    readTail();
  else
    scheduleRead(nextPause());
}

core::Duration KeyedFeed::nextWait() const {
  // A poll that a record ends early doesn't tell when the record came, so what
  // is known is as old as the poll.
  const core::Duration age = core::BootClock::now() - ConfirmedAt;
  // The log counts in whole milliseconds.
  return std::max<core::Duration>(
      core::Duration{},
      std::chrono::floor<std::chrono::milliseconds>(Timing.Wait - age));
}

core::Duration KeyedFeed::nextPause() const {
  const core::Duration left =
      Timing.MaxAge - (core::BootClock::now() - ConfirmedAt);
  return std::max(core::Duration{}, std::min(Timing.Pause, left));
}

void KeyedFeed::appended(const std::vector<KeyedRecord> &records, Appended at,
                         core::TimePoint requestedAt) {
  if (!IsFollowing || at.Era != Era || at.At != Position ||
      !PendingRecords.empty()) {
    readNow();
    return;
  }
  Position += records.size();
  Hooks.OnRecords(records, Position, requestedAt);
}

void KeyedFeed::eraHeard(core::LogEra era) {
  if (!Era || era <= std::max(*Era, HeardEra))
    return;
  HeardEra = era;
  readSnapshot();
}

void KeyedFeed::readSnapshot() {
  IsSnapshotRequested = true;
  if (IsReading)
    return;
  Timer.cancel();
  restart();
}

void KeyedFeed::onFailure(const core::Error &error) {
  if (std::exchange(IsReachable, false) || ConsecutiveFailures == 0)
    Hooks.OnReachabilityChanged(false, error.Detail);
  const int backoffDoublings =
      std::min(ConsecutiveFailures++, MaxBackoffDoublings);
  scheduleRead(std::min<core::Duration>(
      InitialBackoff * (1 << backoffDoublings), MaxBackoff));
}

void KeyedFeed::scheduleRead(core::Duration pause) {
  Timer.start(pause, [this] { continueReading(); });
}

void KeyedFeed::continueReading() {
  if (IsFollowing && !IsSnapshotRequested)
    readTail();
  else
    restart();
}

void KeyedFeed::readNow() {
  IsImmediateReadRequested = true;
  if (IsReading)
    return;
  Timer.cancel();
  continueReading();
}

} // namespace acaciaroad::feed
