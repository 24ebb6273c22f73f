/// \file
/// Numbers in text.

#ifndef ACACIAROAD_CORE_PARSENUMBER_H
#define ACACIAROAD_CORE_PARSENUMBER_H

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace acaciaroad::core {

/// Returns the decimal number that the whole of \p text states; nullopt if it
/// states none, or one out of the range of the type.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text) {
  Number out{};
  const char *end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, out);
  if (ec != std::errc() || it != end)
    return std::nullopt;
  return out;
}

} // namespace acaciaroad::core

#endif
