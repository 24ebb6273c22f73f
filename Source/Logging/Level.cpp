#include "Logging/Level.h"

#include <array>

namespace acaciaroad::logging {

namespace {

constexpr std::array<std::string_view, 5> Names = {"debug", "info", "warning",
                                                   "error", "off"};

} // namespace

std::string_view toString(Level level) {
  return Names[static_cast<std::size_t>(level)];
}

std::optional<Level> levelFromName(std::string_view name) {
  for (std::size_t n = 0; n < Names.size(); ++n)
    if (Names[n] == name)
      return static_cast<Level>(n);
  return std::nullopt;
}

} // namespace acaciaroad::logging
