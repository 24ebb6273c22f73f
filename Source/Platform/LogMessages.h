/// \file
/// The JSON bodies of the log's HTTP protocol, used by the client and by the
/// stand-in.
///
/// - `POST /v1/streams/{stream}/records`, body: the payload. 200 with an
///   append answer. 429, 503: not written. 400, 404, 413: refused.
/// - `GET /v1/streams/{stream}/records?from=n&limit=k&wait_ms=w`. 200 with a
///   batch once a record is there or the wait is over; 410 with bounds if n is
///   older than the oldest record.
/// - `GET /v1/streams/{stream}`. 200 with bounds.

#ifndef ACACIAROAD_PLATFORM_LOGMESSAGES_H
#define ACACIAROAD_PLATFORM_LOGMESSAGES_H

#include <string>
#include <string_view>

#include "Core/Error.h"
#include "Platform/LogBatch.h"

namespace acaciaroad::platform {

/// Whether \p name may be part of the path: letters, digits, '.', '_', '-'.
bool isStreamName(std::string_view name);

std::string encodeAppendAnswer(core::Offset offset);
std::string encodeBounds(const LogBounds &bounds);
std::string encodeBatch(const LogBatch &batch);

/// The decoders fail with CorruptMessage.
core::Result<core::Offset> decodeAppendAnswer(std::string_view body);
core::Result<LogBounds> decodeBounds(std::string_view body);

/// Also checks that offsets rise and lie below the batch's next one.
core::Result<LogBatch> decodeBatch(std::string_view body);

} // namespace acaciaroad::platform

#endif
