/// \file
/// The events of recorded logs that the judges look at.

#ifndef ACACIAROAD_PROGRAMS_REPLAY_TRACEEVENT_H
#define ACACIAROAD_PROGRAMS_REPLAY_TRACEEVENT_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaroad::replay {

/// Which member of a line tells its time.
enum class TraceClock {
  /// `ts`, the wall clock, in milliseconds.
  Wall,
  /// `boot_ns`, for traces that were all recorded on one machine. Lines without
  /// it are left out.
  Boot,
};

/// One line; fields that it does not have are empty or 0. Field names are those
/// of docs/LOG-EVENTS.md.
struct TraceEvent {
  /// Nanoseconds on the chosen clock.
  std::int64_t Time = 0;
  std::string Event;
  std::string Instance;
  std::string DataCentre;
  std::string RequestId;
  std::string Account;
  std::string Class;
  std::string KeyId;
  std::string IdempotencyKey;
  std::string Slice;
  std::string Ran;
  /// What the caller sent, and what the upstream wrote into its answer.
  std::string SentPath;
  std::string EchoedPath;
  std::uint64_t Epoch = 0;
  std::uint64_t InFlight = 0;
  /// Orders that an upstream in its cold start can bear.
  std::uint64_t Bearable = 0;
  std::uint64_t SharePermille = 0;
  bool Cold = false;
};

/// Lines read so far.
struct Trace {
  /// Ordered by time.
  std::vector<TraceEvent> Events;
  /// Lines that are no JSON object with an event and a time.
  std::uint64_t SkippedLines = 0;
};

/// Reads JSON lines of several files and orders them by time; lines of the same
/// time stay in the order read.
Trace readTrace(std::span<const std::string> texts, TraceClock clock);

/// Parses "YYYY-MM-DDTHH:MM:SS.mmmZ" to nanoseconds since the Unix epoch; -1 if
/// it is none.
std::int64_t parseTimestamp(std::string_view text);

} // namespace acaciaroad::replay

#endif
