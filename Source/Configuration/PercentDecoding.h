/// \file
/// Percent-decoding of parts of request targets.

#ifndef ACACIAROAD_CONFIGURATION_PERCENTDECODING_H
#define ACACIAROAD_CONFIGURATION_PERCENTDECODING_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Error.h"

namespace acaciaroad::configuration {

/// What '+' stands for: itself in a path, a space in a query.
enum class PlusSign : std::uint8_t { Literal, Space };

/// Returns the byte that the escape at the start of \p text stands for, or
/// nothing if there is no whole escape.
std::optional<char> escapedByte(std::string_view text);

/// Decodes every escape of \p text once; MalformedRequest for a broken one.
core::Result<std::string> percentDecode(std::string_view text, PlusSign plus);

/// Takes the part of \p rest before \p separator and removes both.
std::string_view takeUntil(std::string_view &rest, char separator);

} // namespace acaciaroad::configuration

#endif
