/// \file
/// Reads paths and routing keys out of request targets. Paths that an upstream
/// could read in another way than the router are refused.

#ifndef ACACIAROAD_CONFIGURATION_ROUTINGKEY_H
#define ACACIAROAD_CONFIGURATION_ROUTINGKEY_H

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Configuration/ConfigurationRecord.h"
#include "Core/Error.h"

namespace acaciaroad::configuration {

/// Longest routing key in bytes, after decoding.
inline constexpr std::size_t MaxRoutingKeyBytes = 512;

/// Returns the value of a header of the request by its name, or nothing.
using HeaderLookup =
    std::function<std::optional<std::string_view>(std::string_view)>;

/// Returns the part of \p target before '?'.
std::string_view pathOf(std::string_view target);

/// Returns \p path with percent-encoded unreserved characters decoded, which
/// RFC 3986 makes equivalent; everything else stays as it is. MalformedRequest
/// for a path that is not absolute, has a dot segment or a broken escape.
core::Result<std::string> canonicalPath(std::string_view path);

/// Returns the routing key of a request of \p workClass; empty for a class that
/// is not divided by key. RoutingKeyMissing if there is none, MalformedRequest
/// for broken escapes, control characters, a parameter given twice or a key
/// that is too long. In a query '+' stands for a space.
core::Result<std::string> routingKey(const WorkClass &workClass,
                                     std::string_view target,
                                     const HeaderLookup &header);

} // namespace acaciaroad::configuration

#endif
