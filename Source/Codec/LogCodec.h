/// \file
/// Encodes the entries of the platform's log.

#ifndef ACACIAROAD_CODEC_LOGCODEC_H
#define ACACIAROAD_CODEC_LOGCODEC_H

#include <span>
#include <string>

#include "Codec/LogEntry.h"
#include "Core/Error.h"

namespace acaciaroad::codec {

/// Longest encoded entry, in bytes.
inline constexpr std::size_t MaxEntryBytes = 256U << 10U;

/// Returns the encoding of \p entry.
std::string encode(const LogEntry &entry);

/// Decodes an entry. CorruptMessage if \p bytes are too long, not an entry of a
/// known kind, or hold a value out of range.
core::Result<LogEntry> decode(std::span<const std::byte> bytes);

} // namespace acaciaroad::codec

#endif
