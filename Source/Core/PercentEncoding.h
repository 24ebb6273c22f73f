/// \file
/// Percent-encoding of parts of a URL.

#ifndef ACACIAROAD_CORE_PERCENTENCODING_H
#define ACACIAROAD_CORE_PERCENTENCODING_H

#include <string>
#include <string_view>

namespace acaciaroad::core {

/// Encodes all but the unreserved characters of RFC 3986, and those in \p kept.
std::string percentEncode(std::string_view text, std::string_view kept = {});

} // namespace acaciaroad::core

#endif
