/// \file
/// Percent-decoding of request targets.

#ifndef ACACIAROAD_CONFIGURATION_PERCENTDECODING_H
#define ACACIAROAD_CONFIGURATION_PERCENTDECODING_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Error.h"

namespace acaciaroad::configuration {

/// Meaning of '+': a literal plus in a path, a space in a query.
enum class PlusSign : std::uint8_t { Literal, Space };

/// Decodes the "%XX" escape at the start of \p text, whose first character must
/// be '%'. Returns nothing if the escape is incomplete or invalid.
std::optional<char> escapedByte(std::string_view text);

/// Decodes all escapes in \p text once. Fails with MalformedRequest for an
/// invalid escape.
core::Result<std::string> percentDecode(std::string_view text, PlusSign plus);

/// Returns the part of \p rest before the first \p separator, and removes it
/// and the separator from \p rest. Without a separator it takes all of \p rest.
std::string_view takeUntil(std::string_view &rest, char separator);

} // namespace acaciaroad::configuration

#endif
