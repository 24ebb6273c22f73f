#include "Http/BodyReader.h"

#include <algorithm>
#include <string>

namespace acaciaroad::http {

namespace {

using core::ErrorKind;

constexpr std::size_t ChunkLineBytes = 256;
constexpr std::size_t TrailerLineBytes = 1024;
constexpr int TrailerLines = 32;

} // namespace

BodyReader::BodyReader(CallerConnection &connection, Framing framing,
                       std::uint64_t length)
    : Connection(connection), Kind(framing), Left(length),
      Done(framing == Framing::None ||
           (framing == Framing::Sized && length == 0)) {}

core::Result<std::size_t> BodyReader::read(std::span<std::byte> out,
                                           core::TimePoint deadline) {
  if (Done || out.empty())
    return 0;
  if (Kind == Framing::Chunked && Left == 0) {
    if (core::Result<void> next = nextChunk(deadline); !next)
      return tl::unexpected(next.error());
    if (Done)
      return 0;
  }
  const auto n =
      static_cast<std::size_t>(std::min<std::uint64_t>(Left, out.size()));
  core::Result<std::size_t> got = Connection.read(out.first(n), deadline);
  if (!got)
    return got;
  Left -= *got;
  Done = Kind == Framing::Sized && Left == 0;
  return got;
}

core::Result<void> BodyReader::nextChunk(core::TimePoint deadline) {
  if (!IsFirstChunk) {
    const auto end = Connection.readLine(ChunkLineBytes, deadline);
    if (!end)
      return tl::unexpected(end.error());
    if (!end->empty())
      return core::fail(ErrorKind::MalformedRequest, "the end of a chunk");
  }
  IsFirstChunk = false;
  const auto line = Connection.readLine(ChunkLineBytes, deadline);
  if (!line)
    return tl::unexpected(line.error());
  const auto size = checkChunkLine(*line);
  if (!size)
    return tl::unexpected(size.error());
  Left = *size;
  if (Left > 0)
    return {};
  return readTrailer(deadline);
}

core::Result<void> BodyReader::readTrailer(core::TimePoint deadline) {
  for (int n = 0; n < TrailerLines; ++n) {
    const auto line = Connection.readLine(TrailerLineBytes, deadline);
    if (!line)
      return tl::unexpected(line.error());
    if (line->empty()) {
      Done = true;
      return {};
    }
  }
  return core::fail(ErrorKind::MalformedRequest, "the trailer is too long");
}

} // namespace acaciaroad::http
