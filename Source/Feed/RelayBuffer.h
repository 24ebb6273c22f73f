/// \file
/// The newest part of a log, kept for other nodes to read.

#ifndef ACACIAROAD_FEED_RELAYBUFFER_H
#define ACACIAROAD_FEED_RELAYBUFFER_H

#include <cstddef>
#include <deque>
#include <optional>
#include <span>

#include "Feed/FeedTypes.h"

namespace acaciaroad::feed {

/// Bounded; the oldest records give way.
class RelayBuffer {
public:
  explicit RelayBuffer(std::size_t maxBytes) : MaxBytes(maxBytes) {}

  /// The log was read from its newest records; it ends at \p end.
  void reset(core::Offset end, core::TimePoint requestedAt);

  /// The log was read on to \p end. Older news than what is known is passed
  /// over.
  void add(std::span<const KeyedRecord> records, core::Offset end,
           core::TimePoint requestedAt);

  /// Returns what comes after \p from, with its age; nothing if the buffer
  /// doesn't reach back that far. A reader that is ahead gets no records.
  std::optional<Tail> read(core::Offset from, core::TimePoint now) const;

private:
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::deque<KeyedRecord> Records;
  /// Offset of the first of Records.
  core::Offset FirstOffset = 0;
  core::Offset End = 0;
  core::TimePoint RequestedAt{};
  bool IsInitialized = false;
};

} // namespace acaciaroad::feed

#endif
