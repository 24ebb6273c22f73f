/// \file
/// What became of one request.

#ifndef ACACIAROAD_LOAD_SAMPLE_H
#define ACACIAROAD_LOAD_SAMPLE_H

#include <cstdint>
#include <functional>
#include <string_view>

#include "Core/Clock.h"
#include "Core/ErrorKind.h"
#include "Programs/Load/Schedule.h"

namespace acaciaroad::load {

enum class Outcome : std::uint8_t {
  Served,
  /// Answered with a problem document that says "not run".
  Refused,
  /// Answered with a problem document that says the outcome is unknown.
  Unknown,
  /// No target took the connection.
  Unreachable,
  Timeout,
  /// The connection broke, or the answer was cut short.
  Broken,
  /// The answer belonged to another request, or differed from what was sent.
  Crossed,
  /// Any other status.
  BadStatus,
};

inline constexpr std::size_t OutcomeCount =
    static_cast<std::size_t>(Outcome::BadStatus) + 1;

/// Returns the name in the results.
std::string_view toString(Outcome outcome);

/// The end of one exchange.
struct Ending {
  Outcome Result = Outcome::Served;
  /// Of the problem document; Internal where there is none.
  core::ErrorKind Kind = core::ErrorKind::Internal;
};

/// What tells whether an answer is that to its request.
struct AnswerEcho {
  /// Of the answer's header; empty without one.
  std::string_view RequestId;
  /// Path of the request, with its number.
  std::string_view SentPath;
  /// Path that the upstream wrote into its answer; empty without one.
  std::string_view EchoedPath;
  /// HTTP.
  int Status = 0;
};

/// Receives the echo of each answer, on the thread that got it.
using AnswerHandler = std::function<void(const AnswerEcho &)>;

/// One request and its end.
struct Sample {
  Shot Request;
  Ending End;
  /// From the intended start.
  core::Duration Latency{};
  /// How long after the intended start it was sent.
  core::Duration Lateness{};
};

} // namespace acaciaroad::load

#endif
