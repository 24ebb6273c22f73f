/// \file
/// What is read from a stream of the platform's log.

#ifndef ACACIAROAD_PLATFORM_LOGBATCH_H
#define ACACIAROAD_PLATFORM_LOGBATCH_H

#include <string>
#include <vector>

#include "Core/Identifiers.h"

namespace acaciaroad::platform {

/// One record of a stream.
struct LogRecord {
  core::Offset Offset = 0;
  /// Raw bytes.
  std::string Payload;
  bool operator==(const LogRecord &) const = default;
};

/// The part of a stream that the log still keeps.
struct LogBounds {
  /// Offset of the oldest record kept.
  core::Offset First = 0;
  /// Offset that the next append receives.
  core::Offset Next = 0;
  bool operator==(const LogBounds &) const = default;
};

/// Records in order of their offsets.
struct LogBatch {
  std::vector<LogRecord> Records;
  /// Where to read on.
  core::Offset Next = 0;
  /// Offset of the oldest record kept.
  core::Offset First = 0;
  bool operator==(const LogBatch &) const = default;
};

} // namespace acaciaroad::platform

#endif
