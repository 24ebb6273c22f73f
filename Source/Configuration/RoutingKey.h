/// \file
/// Extracts paths and routing keys from requests. Rejects paths that an
/// upstream might interpret differently than the router.

#ifndef ACACIAROAD_CONFIGURATION_ROUTINGKEY_H
#define ACACIAROAD_CONFIGURATION_ROUTINGKEY_H

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Configuration/ConfigurationRecord.h"
#include "Core/Error.h"

namespace acaciaroad::configuration {

/// Maximum length of a decoded routing key.
inline constexpr std::size_t MaxRoutingKeyBytes = 512;

/// Returns the value of a request header by name, or nothing if absent.
using HeaderLookup =
    std::function<std::optional<std::string_view>(std::string_view)>;

/// Returns the part of \p target before the query ('?') or fragment ('#').
std::string_view pathOf(std::string_view target);

/// Decodes the percent-encoded unreserved characters of \p path, which RFC 3986
/// defines as equivalent, and leaves everything else unchanged. Fails with
/// MalformedRequest if the path isn't absolute, or contains a dot segment or an
/// invalid escape.
core::Result<std::string> canonicalPath(std::string_view path);

/// Returns the routing key of a request of \p workClass; empty if the class is
/// not sharded by key. Fails with RoutingKeyMissing if the request has none,
/// and with MalformedRequest for an invalid escape, a control character, a dot
/// segment, a repeated query parameter or a key longer than MaxRoutingKeyBytes.
/// In a query '+' means a space.
core::Result<std::string> routingKey(const WorkClass &workClass,
                                     std::string_view target,
                                     const HeaderLookup &header);

} // namespace acaciaroad::configuration

#endif
