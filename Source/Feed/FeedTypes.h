/// \file
/// What a keyed log gives to its readers and takes from its writers.

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

/// A record of a log that keeps the newest record of each key.
struct KeyedRecord {
  std::string Key;
  /// Absent where the key was removed.
  std::optional<std::string> Value;
};

/// One page of the newest records.
struct NewestPage {
  std::vector<KeyedRecord> Records;
  bool HasMore = false;
  core::Offset End = 0;
  /// Why records of the page are not among Records.
  std::vector<core::Error> Unreadable;
};

/// Records in the order of the log.
struct Tail {
  std::vector<KeyedRecord> Records;
  /// Offset after the last of Records.
  core::Offset Next = 0;
  core::Offset End = 0;
  /// How long before the question the log itself was asked.
  core::Duration Age{};
  /// Why records are not among Records; their offsets count.
  std::vector<core::Error> Unreadable;
};

using PageHandler = std::function<void(core::Result<NewestPage>)>;
using TailHandler = std::function<void(core::Result<Tail>)>;
/// Receives the offset of the first record.
using AppendHandler = std::function<void(core::Result<core::Offset>)>;

/// One keyed log of the platform. Reads fail with LogUnavailable, or with
/// LogTrimmed if the records are gone. Appends fail with Conflict if the log
/// does not end at the stated offset, LogUnavailable if nothing was done, and
/// LogOutcomeUnknown.
struct KeyedLog {
  std::function<void(std::string_view after, PageHandler)> ReadNewest;
  std::function<void(core::Offset from, core::Duration wait, TailHandler)>
      ReadFrom;
  /// All records or none; they follow each other.
  std::function<void(std::span<const KeyedRecord>,
                     std::optional<core::Offset> at, AppendHandler)>
      Append;
};

} // namespace acaciaroad::feed

#endif
