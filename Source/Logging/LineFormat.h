/// \file
/// Formats one log line as a JSON object.

#ifndef ACACIAROAD_LOGGING_LINEFORMAT_H
#define ACACIAROAD_LOGGING_LINEFORMAT_H

#include <chrono>
#include <span>
#include <string>
#include <string_view>

#include "Logging/Field.h"
#include "Logging/Level.h"

namespace acaciaroad::logging {

/// The parts that every line has.
struct LineHead {
  std::chrono::system_clock::time_point Time;
  Level LineLevel = Level::Info;
  std::string_view Event;
  std::string_view Instance;
};

/// Returns the JSON object of a line, with a line feed at its end. Bytes that
/// are no UTF-8 become U+FFFD; numbers that JSON can't express become null.
std::string formatLine(const LineHead &head, std::span<const Field> fields);

} // namespace acaciaroad::logging

#endif
