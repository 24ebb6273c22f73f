/// \file
/// Buffer of the newest records of a log, from which other nodes read.

#ifndef ACACIAROAD_FEED_RELAYBUFFER_H
#define ACACIAROAD_FEED_RELAYBUFFER_H

#include <cstddef>
#include <deque>
#include <optional>
#include <span>

#include "Feed/FeedTypes.h"

namespace acaciaroad::feed {

/// Keeps the newest consecutive records of a log. Evicts the oldest ones when
/// the size in bytes exceeds the limit.
class RelayBuffer {
public:
  explicit RelayBuffer(std::size_t maxBytes) : MaxBytes(maxBytes) {}

  /// Clears the buffer after a snapshot was read of a log that ends at \p end.
  void reset(core::Offset end, core::TimePoint requestedAt);

  /// Adds \p records, which end at \p end. Clears the buffer if they do not
  /// exactly fill the offsets from its end to \p end; ignores them if \p end is
  /// its end already.
  void add(std::span<const KeyedRecord> records, core::Offset end,
           core::TimePoint requestedAt);

  /// Returns the records from \p from on, with the age of the last read of the
  /// log. Returns nothing if the buffer starts after \p from, or before the
  /// first read. If \p from is past the end, the tail has no records.
  std::optional<Tail> read(core::Offset from, core::TimePoint now) const;

private:
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::deque<KeyedRecord> Records;
  /// Offset of the first record in Records.
  core::Offset FirstOffset = 0;
  core::Offset End = 0;
  core::TimePoint RequestedAt{};
  /// Whether the log has been read.
  bool IsInitialized = false;
};

} // namespace acaciaroad::feed

#endif
