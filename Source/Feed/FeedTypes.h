/// \file
/// Records and operations of a keyed log.

#ifndef ACACIAROAD_FEED_FEEDTYPES_H
#define ACACIAROAD_FEED_FEEDTYPES_H

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"

namespace acaciaroad::feed {

/// A record of a keyed log: a compacted log that keeps the newest record of
/// each key.
struct KeyedRecord {
  std::string Key;
  /// Empty if the key was removed.
  std::optional<std::string> Value;
};

/// One page of the newest records, one for each key.
struct NewestPage {
  std::vector<KeyedRecord> Records;
  bool HasMore = false;
  core::Offset End = 0;
  /// Errors of records that could not be decoded and are not in Records.
  std::vector<core::Error> Unreadable;
  core::LogEra Era = 0;
};

/// Consecutive records in log order.
struct Tail {
  std::vector<KeyedRecord> Records;
  /// Offset after the last record that was read.
  core::Offset Next = 0;
  /// Offset after the last record of the log.
  core::Offset End = 0;
  /// Time from the last read of the log to this read; 0 unless it was relayed.
  core::Duration Age{};
  /// Errors of records that could not be decoded and are not in Records. Next
  /// counts their offsets.
  std::vector<core::Error> Unreadable;
  /// Whether another node answered the read, which doesn't wait for records.
  bool IsRelayed = false;
  core::LogEra Era = 0;
};

/// Where records were appended.
struct Appended {
  /// Offset of the first one.
  core::Offset At = 0;
  core::LogEra Era = 0;
};

using PageHandler = std::function<void(core::Result<NewestPage>)>;
using TailHandler = std::function<void(core::Result<Tail>)>;
using AppendHandler = std::function<void(core::Result<Appended>)>;

/// Operations of one keyed log of the platform. Reads fail with LogUnavailable,
/// or with LogTrimmed if the records no longer exist.
/// An answer of an earlier era than one before it counts as LogUnavailable.
/// Appends fail with Conflict if the log does not end at the given offset, with
/// LogUnavailable if nothing was appended, and with LogOutcomeUnknown if the
/// records may have been.
struct KeyedLog {
  /// Reads the newest records of the keys after \p after.
  std::function<void(std::string_view after, PageHandler)> ReadNewest;
  /// Reads records from \p from on. At the end of the log, waits for new
  /// records for up to \p wait.
  std::function<void(core::Offset from, core::Duration wait, TailHandler)>
      ReadFrom;
  /// Appends all records contiguously or none, at offset \p at if given.
  std::function<void(std::span<const KeyedRecord>,
                     std::optional<core::Offset> at, AppendHandler)>
      Append;
};

} // namespace acaciaroad::feed

#endif
