/// \file
/// Answers that end early or are malformed, for tests of all that read answers.

#ifndef ACACIAROAD_TESTS_SUPPORT_ENDINGANSWERS_H
#define ACACIAROAD_TESTS_SUPPORT_ENDINGANSWERS_H

#include <cstddef>
#include <string>
#include <string_view>

#include "Support/ByteServer.h"

namespace acaciaroad::tests {

/// Fields that frame a body, and how its bytes are written.
enum class Framing {
  None,
  Length,
  Chunks,
  /// Transfer codings that clients don't ask for.
  Coded,
  CodedChunks,
  CodedLength,
};

/// What is written of a body.
enum class Extent {
  Nothing,
  Half,
  Whole,
  /// All of it and further bytes, which belong to no answer.
  Beyond,
};

struct EndingAnswer {
  const char *Name;
  const char *StatusLine;
  Framing Frame;
  Extent Body;
  AnswerAfter When;
  ConnectionEnd End;
  /// Size of the request's body, in bytes.
  std::size_t UploadBytes;
  /// Whether the answer is valid and complete. If not, the request may have
  /// run.
  bool IsWhole;
};

inline constexpr std::size_t SmallUpload = 10;
/// Fits into the send buffer of a socket, but not into the receive buffer of a
/// server that doesn't read.
inline constexpr std::size_t BufferedUpload = 1U << 20U;
inline constexpr std::size_t LargeUpload = 6U << 20U;

inline constexpr const char *OkLine = "HTTP/1.1 200 OK";

inline const EndingAnswer EndingAnswers[] = {
    // After the whole request.
    {"no length, closed", OkLine, Framing::None, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::Close, SmallUpload, true},
    {"no length, half-closed", OkLine, Framing::None, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::HalfClose, SmallUpload, true},
    {"no length, reset in the body", OkLine, Framing::None, Extent::Half,
     AnswerAfter::Body, ConnectionEnd::Reset, SmallUpload, false},
    {"no length, reset before the body", OkLine, Framing::None, Extent::Nothing,
     AnswerAfter::Body, ConnectionEnd::Reset, SmallUpload, false},
    {"length, kept", OkLine, Framing::Length, Extent::Whole, AnswerAfter::Body,
     ConnectionEnd::None, SmallUpload, true},
    {"length, reset behind the body", OkLine, Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::Reset, SmallUpload, true},
    {"length, closed in the body", OkLine, Framing::Length, Extent::Half,
     AnswerAfter::Body, ConnectionEnd::Close, SmallUpload, false},
    {"length, half-closed in the body", OkLine, Framing::Length, Extent::Half,
     AnswerAfter::Body, ConnectionEnd::HalfClose, SmallUpload, false},
    {"length, more bytes than stated", OkLine, Framing::Length, Extent::Beyond,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, true},
    {"chunks, kept", OkLine, Framing::Chunks, Extent::Whole, AnswerAfter::Body,
     ConnectionEnd::None, SmallUpload, true},
    {"chunks, closed in the body", OkLine, Framing::Chunks, Extent::Half,
     AnswerAfter::Body, ConnectionEnd::Close, SmallUpload, false},
    {"chunks, reset in the body", OkLine, Framing::Chunks, Extent::Half,
     AnswerAfter::Body, ConnectionEnd::Reset, SmallUpload, false},
    {"chunks, bytes behind the last", OkLine, Framing::Chunks, Extent::Beyond,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, true},
    {"large upload, no length, closed", OkLine, Framing::None, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::Close, LargeUpload, true},
    {"large upload, no length, reset", OkLine, Framing::None, Extent::Half,
     AnswerAfter::Body, ConnectionEnd::Reset, LargeUpload, false},
    // While the request is sent.
    {"early, no length, closed", OkLine, Framing::None, Extent::Half,
     AnswerAfter::Head, ConnectionEnd::Close, LargeUpload, false},
    {"early, no length, reset", OkLine, Framing::None, Extent::Half,
     AnswerAfter::Head, ConnectionEnd::Reset, LargeUpload, false},
    {"early, no length, half-closed, then reset", OkLine, Framing::None,
     Extent::Half, AnswerAfter::Head, ConnectionEnd::HalfCloseReset,
     LargeUpload, false},
    {"early, no length, half-closed, the upload is read", OkLine, Framing::None,
     Extent::Whole, AnswerAfter::Head, ConnectionEnd::HalfClose, LargeUpload,
     true},
    {"early, length, reset in the body", OkLine, Framing::Length, Extent::Half,
     AnswerAfter::Head, ConnectionEnd::Reset, LargeUpload, false},
    {"early, length, reset behind the body", OkLine, Framing::Length,
     Extent::Whole, AnswerAfter::Head, ConnectionEnd::Reset, LargeUpload, true},
    {"early, length, kept", OkLine, Framing::Length, Extent::Whole,
     AnswerAfter::Head, ConnectionEnd::None, LargeUpload, true},
    {"early, chunks, reset in the body", OkLine, Framing::Chunks, Extent::Half,
     AnswerAfter::Head, ConnectionEnd::Reset, LargeUpload, false},
    {"early, chunks, half-closed in the body, then reset", OkLine,
     Framing::Chunks, Extent::Half, AnswerAfter::Head,
     ConnectionEnd::HalfCloseReset, LargeUpload, false},
    // The request is in the send buffer of the client.
    {"buffered upload, no length, closed", OkLine, Framing::None, Extent::Half,
     AnswerAfter::Head, ConnectionEnd::Close, BufferedUpload, false},
    {"buffered upload, no length, reset", OkLine, Framing::None, Extent::Half,
     AnswerAfter::Head, ConnectionEnd::Reset, BufferedUpload, false},
    {"buffered upload, no length, half-closed, then reset", OkLine,
     Framing::None, Extent::Half, AnswerAfter::Head,
     ConnectionEnd::HalfCloseReset, BufferedUpload, false},
    {"buffered upload, no length, half-closed, the upload is read", OkLine,
     Framing::None, Extent::Whole, AnswerAfter::Head, ConnectionEnd::HalfClose,
     BufferedUpload, true},
    {"buffered upload, length, reset behind the body", OkLine, Framing::Length,
     Extent::Whole, AnswerAfter::Head, ConnectionEnd::Reset, BufferedUpload,
     true},
    // Transfer codings.
    {"coded, closed", OkLine, Framing::Coded, Extent::Whole, AnswerAfter::Body,
     ConnectionEnd::Close, SmallUpload, false},
    {"coded, in chunks", OkLine, Framing::CodedChunks, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    {"coded, with a length", OkLine, Framing::CodedLength, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    // Statuses and versions.
    {"status 000", "HTTP/1.1 000 Unknown", Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    {"status 000 without a length", "HTTP/1.1 000 Unknown", Framing::None,
     Extent::Whole, AnswerAfter::Body, ConnectionEnd::Close, SmallUpload,
     false},
    {"status 000 while the request is sent", "HTTP/1.1 000 Unknown",
     Framing::Length, Extent::Whole, AnswerAfter::Head, ConnectionEnd::None,
     LargeUpload, false},
    {"status 000 without its body", "HTTP/1.1 000 Unknown", Framing::Length,
     Extent::Nothing, AnswerAfter::Body, ConnectionEnd::None, SmallUpload,
     false},
    {"status 099", "HTTP/1.1 099 Low", Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    {"status 101", "HTTP/1.1 101 Switching Protocols", Framing::Length,
     Extent::Nothing, AnswerAfter::Body, ConnectionEnd::None, SmallUpload,
     false},
    {"status 600", "HTTP/1.1 600 High", Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    {"status 999", "HTTP/1.1 999 High", Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    {"status of four digits", "HTTP/1.1 2000 OK", Framing::Length,
     Extent::Whole, AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    {"status that is no number", "HTTP/1.1 2x0 OK", Framing::Length,
     Extent::Whole, AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    {"no status", "HTTP/1.1 OK", Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    {"no reason", "HTTP/1.1 200 ", Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, true},
    {"status 599", "HTTP/1.1 599 Odd", Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, true},
    {"version 1.0", "HTTP/1.0 200 OK", Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::Close, SmallUpload, true},
    {"version 0.9", "HTTP/0.9 200 OK", Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    {"version 1.2", "HTTP/1.2 200 OK", Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    {"version 2.0", "HTTP/2.0 200 OK", Framing::Length, Extent::Whole,
     AnswerAfter::Body, ConnectionEnd::None, SmallUpload, false},
    {"no version", "200 OK", Framing::Length, Extent::Whole, AnswerAfter::Body,
     ConnectionEnd::None, SmallUpload, false},
};

inline std::string chunkOf(std::string_view bytes) {
  constexpr const char *Digits = "0123456789abcdef";
  std::string size;
  for (std::size_t n = bytes.size(); n > 0; n /= 16)
    size.insert(size.begin(), Digits[n % 16]);
  return size + "\r\n" + std::string(bytes) + "\r\n";
}

/// Returns what \p row writes of an answer with \p fields, each of them with
/// its line end, and \p body.
inline std::string bytesOf(const EndingAnswer &row, std::string_view fields,
                           std::string_view body) {
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string chunks = "Transfer-Encoding: chunked\r\n";
  const std::string half(body.substr(0, body.size() / 2));
  std::string out = std::string(row.StatusLine) + "\r\n" + std::string(fields);
  bool isChunked = false;
  switch (row.Frame) {
  case Framing::None:
    break;
  case Framing::Length:
    out += length;
    break;
  case Framing::Chunks:
    out += chunks;
    isChunked = true;
    break;
  case Framing::Coded:
    out += "Transfer-Encoding: gzip\r\n";
    break;
  case Framing::CodedChunks:
    out += "Transfer-Encoding: gzip, chunked\r\n";
    isChunked = true;
    break;
  case Framing::CodedLength:
    out += "Transfer-Encoding: gzip\r\n" + length;
    break;
  }
  out += "\r\n";
  if (row.Body == Extent::Half)
    out += isChunked ? chunkOf(half) : half;
  if (row.Body == Extent::Whole || row.Body == Extent::Beyond)
    out += isChunked ? chunkOf(body) + "0\r\n\r\n" : std::string(body);
  if (row.Body == Extent::Beyond)
    out += "further bytes";
  return out;
}

} // namespace acaciaroad::tests

#endif
