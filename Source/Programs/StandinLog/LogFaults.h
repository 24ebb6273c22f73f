/// \file
/// Faults of the stand-in log, switched on over HTTP.

#ifndef ACACIAROAD_STANDINLOG_LOGFAULTS_H
#define ACACIAROAD_STANDINLOG_LOGFAULTS_H

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "Core/Error.h"

namespace acaciaroad::standinlog {

enum class Outage : std::uint8_t {
  None,
  /// Answers 503.
  Refuse,
  /// Closes connections without an answer.
  Drop,
};

/// What goes wrong for as long as it is set.
struct LogFaults {
  Outage LogOutage = Outage::None;
  /// Delay before each append and read.
  std::chrono::milliseconds Slow{0};
  /// Appends take effect, but are not answered.
  bool LoseAnswers = false;
  /// Share of appends refused with 503, 0 to 1.
  double RejectRate = 0;
};

/// Returns \p current with the members that the JSON object \p body names
/// replaced: `outage` ("none", "refuse", "drop"), `slow_ms`, `lose_answers`,
/// `reject_rate`. Fails with InvalidArgument.
core::Result<LogFaults> applyFaults(LogFaults current, std::string_view body);

/// Returns the JSON object that applyFaults reads.
std::string encodeFaults(const LogFaults &faults);

} // namespace acaciaroad::standinlog

#endif
