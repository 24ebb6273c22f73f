/// \file
/// Levels of log lines.

#ifndef ACACIAROAD_LOGGING_LEVEL_H
#define ACACIAROAD_LOGGING_LEVEL_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace acaciaroad::logging {

/// Importance of a line, in rising order. Off is only a threshold.
enum class Level : std::uint8_t { Debug, Info, Warning, Error, Off };

/// Returns the name used in settings and lines, such as "info".
std::string_view toString(Level level);

/// Returns the level whose name is \p name, or nothing.
std::optional<Level> levelFromName(std::string_view name);

} // namespace acaciaroad::logging

#endif
