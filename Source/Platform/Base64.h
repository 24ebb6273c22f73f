/// \file
/// Base64 by OpenSSL.

#ifndef ACACIAROAD_PLATFORM_BASE64_H
#define ACACIAROAD_PLATFORM_BASE64_H

#include <string>
#include <string_view>

#include "Core/Error.h"

namespace acaciaroad::platform {

/// Returns \p bytes in base64 with padding and without line breaks.
std::string encodeBase64(std::string_view bytes);

/// Inverse of encodeBase64. Fails with CorruptMessage.
core::Result<std::string> decodeBase64(std::string_view text);

} // namespace acaciaroad::platform

#endif
