/// \file
/// Reads the body of a caller's request.

#ifndef ACACIAROAD_HTTP_BODYREADER_H
#define ACACIAROAD_HTTP_BODYREADER_H

#include <cstddef>
#include <cstdint>
#include <span>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Http/CallerConnection.h"
#include "Http/HeadCheck.h"

namespace acaciaroad::http {

/// Hands out the bytes of one body on demand; cpp-httplib can only push them.
/// Never reads beyond the body.
class BodyReader {
public:
  /// \p connection must outlive the reader.
  BodyReader(CallerConnection &connection, Framing framing,
             std::uint64_t length);

  /// Reads into \p out; returns 0 at the end of the body. Fails with
  /// BodyIncomplete if the caller stops short, and with MalformedRequest for
  /// bad chunks.
  core::Result<std::size_t> read(std::span<std::byte> out,
                                 core::TimePoint deadline);

  /// Whether the whole body was read.
  bool isDone() const { return Done; }

private:
  core::Result<void> nextChunk(core::TimePoint deadline);
  core::Result<void> readTrailer(core::TimePoint deadline);

  CallerConnection &Connection;
  const Framing Kind;
  /// Bytes left of the body, or of the current chunk.
  std::uint64_t Left;
  bool IsFirstChunk = true;
  bool Done;
};

} // namespace acaciaroad::http

#endif
