/// \file
/// A caller's connection.

#ifndef ACACIAROAD_HTTP_CALLERCONNECTION_H
#define ACACIAROAD_HTTP_CALLERCONNECTION_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::http {

/// Owns the descriptor and the bytes that were received but not yet used.
/// Belongs to one thread at a time; waits by poll with a deadline.
class CallerConnection {
public:
  /// Takes over \p descriptor, a connected TCP socket.
  explicit CallerConnection(int descriptor);
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;
  ~CallerConnection();

  int descriptor() const { return Descriptor; }

  /// Returns the numeric address of the caller, or "".
  std::string remoteAddress() const;

  /// Result of one receive that does not wait.
  enum class Received : std::uint8_t { Bytes, Nothing, End };

  /// Receives once what has arrived.
  Received receive();

  /// What was received and not yet used.
  std::string_view buffered() const {
    return std::string_view(Buffer).substr(Used);
  }

  /// Drops the first \p n of the buffered bytes.
  void consume(std::size_t n);

  /// Reads into \p out; returns 0 at the end of the stream. Fails with
  /// BodyIncomplete when \p deadline passes or the connection breaks.
  core::Result<std::size_t> read(std::span<std::byte> out,
                                 core::TimePoint deadline);

  /// Reads a line and returns it without its end; fails with MalformedRequest
  /// beyond \p limit bytes, else as read() does.
  core::Result<std::string> readLine(std::size_t limit,
                                     core::TimePoint deadline);

  /// Writes \p head and then \p body. Fails with AnswerIncomplete when
  /// \p deadline passes or the connection breaks.
  core::Result<void> write(std::string_view head,
                           std::span<const std::byte> body,
                           core::TimePoint deadline);

  /// Whether the caller has closed its end.
  bool isPeerGone() const;

  /// Ends the sending side; the caller can still be read.
  void shutdownSend() const;

  /// Lets the connection end with a reset, so that the caller does not take
  /// what it has for the whole answer.
  void resetOnClose() const;

private:
  core::Result<void> fill(core::TimePoint deadline);

  const int Descriptor;
  std::string Buffer;
  std::size_t Used = 0;
};

} // namespace acaciaroad::http

#endif
