/// \file
/// Buffer of the newest records of a log, from which other nodes read.

#ifndef ACACIAROAD_FEED_RELAYBUFFER_H
#define ACACIAROAD_FEED_RELAYBUFFER_H

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string_view>

#include "Feed/FeedTypes.h"

namespace acaciaroad::feed {

/// Keeps the newest record of each key that a log has received since some
/// offset, so that an answer holds each key once, however often it changed. A
/// configuration that is changed several times in a row would not fit into one
/// answer otherwise. Drops the oldest records when the size in bytes exceeds
/// the limit.
class RelayBuffer {
public:
  explicit RelayBuffer(std::size_t maxBytes) : MaxBytes(maxBytes) {}
  RelayBuffer(const RelayBuffer &) = delete;
  RelayBuffer &operator=(const RelayBuffer &) = delete;

  /// Clears the buffer after a snapshot was read of a log that ends at \p end.
  void reset(core::Offset end, core::TimePoint requestedAt);

  /// The log has entered \p era. Empties the buffer until the next snapshot.
  void enterEra(core::LogEra era);
  core::LogEra era() const { return Era; }

  /// Adds the \p records from the buffer's end to \p end. There may be fewer
  /// than offsets: records that were replaced within the range or that could
  /// not be decoded; or more, if some were added before. Clears the buffer if
  /// \p end is before its end.
  void add(std::span<const KeyedRecord> records, core::Offset end,
           core::TimePoint requestedAt);

  /// Returns the newest record of each key that changed from \p from on, with
  /// the age of the last read of the log. Records just before \p from may be
  /// among them. Returns nothing if the buffer starts after \p from, or before
  /// the first read. If \p from is past the end, the tail has no records.
  std::optional<Tail> read(core::Offset from, core::TimePoint now) const;

private:
  struct Entry {
    KeyedRecord Record;
    /// Offset behind the record, or a later one if its own isn't known.
    core::Offset End = 0;
  };

  using EntryList = std::list<Entry>;

  void insert(const KeyedRecord &record, core::Offset end);
  void erase(EntryList::iterator entry);

  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  /// The oldest first; the ends don't fall.
  EntryList Entries;
  /// The entry of each key; the keys are those of the entries' records.
  std::map<std::string_view, EntryList::iterator> ByKey;
  /// Offset from which on changes are known.
  core::Offset FirstOffset = 0;
  core::Offset End = 0;
  core::TimePoint RequestedAt{};
  core::LogEra Era = 0;
  /// Whether the log has been read.
  bool IsInitialized = false;
};

} // namespace acaciaroad::feed

#endif
