/// \file
/// Line checks on the heads of HTTP messages, made before cpp-httplib sees
/// them. The library takes contradicting lengths, decodes percent escapes in
/// header values and does not know all methods.

#ifndef ACACIAROAD_HTTP_HEADCHECK_H
#define ACACIAROAD_HTTP_HEADCHECK_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Error.h"
#include "Core/Header.h"

namespace acaciaroad::http {

using core::Header;

/// How the end of a body is known.
enum class Framing : std::uint8_t {
  None,
  Sized,
  Chunked,
  /// Answers only: the body ends with the connection.
  UntilClose,
};

/// Bounds of a head.
struct HeadLimits {
  /// Bytes of a line without its end; cpp-httplib takes 8192 with it.
  std::size_t LineBytes = 8000;
  /// Bytes of all lines.
  std::size_t HeadBytes = 32768;
  std::size_t Headers = 100;
  /// Bytes of a body that a Content-Length may state.
  std::uint64_t BodyBytes = std::uint64_t{1} << 40U;
};

/// The head of a caller's request, without hop-by-hop headers, Expect and
/// Content-Length.
struct RequestHead {
  std::string Method;
  /// In origin form, or "*".
  std::string Target;
  std::vector<Header> Headers;
  Framing Body = Framing::None;
  /// Bytes, for Framing::Sized.
  std::uint64_t BodyLength = 0;
  /// HTTP/1.1, not 1.0.
  bool IsVersion11 = true;
  bool KeepAlive = true;
  bool ExpectsContinue = false;
};

/// The head of an upstream's answer, without hop-by-hop headers. An answer that
/// never has a body, such as one to HEAD, keeps its Content-Length.
struct ResponseHead {
  int Status = 0;
  std::vector<Header> Headers;
  Framing Body = Framing::UntilClose;
  std::uint64_t BodyLength = 0;
  bool KeepAlive = true;
};

/// Returns the bytes up to and with the empty line, or nothing while that has
/// not come.
std::optional<std::size_t> headLength(std::string_view bytes);

/// Whether \p bytes, which hold no whole head, go beyond the limits already.
bool isHeadTooLong(std::string_view bytes, const HeadLimits &limits);

/// Checks a whole head. Fails with MalformedRequest, HeaderTooLarge or
/// BodyTooLarge.
core::Result<RequestHead> checkRequestHead(std::string_view head,
                                           const HeadLimits &limits);

/// Checks a whole head of an answer to \p method. Fails with AnswerIncomplete.
core::Result<ResponseHead> checkResponseHead(std::string_view head,
                                             std::string_view method,
                                             const HeadLimits &limits);

/// Compares names or values without regard to case.
bool isSame(std::string_view a, std::string_view b);

/// Returns the value of the first header \p name, or nothing.
std::optional<std::string_view> findHeader(std::span<const Header> headers,
                                           std::string_view name);

/// Removes the headers that concern one connection, and those that Connection
/// names (RFC 9110, section 7.6.1).
void stripHopByHop(std::vector<Header> &headers);

/// Reads a size of a chunk from its line; fails with MalformedRequest.
core::Result<std::uint64_t> checkChunkLine(std::string_view line);

} // namespace acaciaroad::http

#endif
