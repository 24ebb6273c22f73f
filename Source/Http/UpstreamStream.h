/// \file
/// The socket to an upstream as cpp-httplib sees it.

#ifndef ACACIAROAD_HTTP_UPSTREAMSTREAM_H
#define ACACIAROAD_HTTP_UPSTREAMSTREAM_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <httplib.h>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Http/HeadCheck.h"

namespace acaciaroad::http {

/// Carries one order over a connected socket, with a deadline. Knows whether a
/// byte of the order left, and stops a body when the upstream answers before
/// its end. The head of the answer is checked here and replayed to the library
/// with nothing but its framing, because the library changes header values and
/// waits for bodies that do not come.
class UpstreamStream : public httplib::Stream {
public:
  UpstreamStream(int descriptor, std::string_view method,
                 core::TimePoint deadline);

  bool is_readable() const override;
  bool is_writable() const override { return true; }
  ssize_t read(char *ptr, size_t size) override;
  ssize_t write(const char *ptr, size_t size) override;
  void get_remote_ip_and_port(std::string &ip, int &port) const override;
  void get_local_ip_and_port(std::string &ip, int &port) const override;
  socket_t socket() const override { return Descriptor; }

  /// \p hook runs before a wait for bytes of the answer's body; if it returns
  /// false, the read fails.
  void setBeforeWait(std::function<bool()> hook) {
    BeforeWait = std::move(hook);
  }

  /// Sends what write() held back; returns false if the connection broke.
  bool flush();

  /// From now on writes are dropped: the answer came before the end of the
  /// body.
  void dropWrites() { DropsWrites = true; }

  /// Whether any byte of the order was given to the system.
  bool hasSent() const { return Sent; }

  /// Whether the upstream answers already, before the body was sent.
  bool isAnsweredEarly() const { return AnsweredEarly; }

  /// The head of the answer, once it was read.
  const std::optional<ResponseHead> &head() const { return Head; }

  /// Whether the body of a chunked answer ended as it must. The library takes
  /// some broken chunks for the end.
  bool endsWithEmptyLine() const { return Tail == "\n\r\n"; }

  /// Bytes that were received and not yet read.
  std::size_t buffered() const { return Buffer.size() - Used; }

private:
  bool receive();
  bool readHead();
  void startReplay();
  ssize_t take(std::string &from, std::size_t &used, char *ptr, size_t size);
  void keepTail(std::string_view bytes);

  const int Descriptor;
  const std::string_view Method;
  const core::TimePoint Deadline;
  std::function<bool()> BeforeWait;
  std::string Unsent;
  bool DropsWrites = false;
  bool Sent = false;
  bool AnsweredEarly = false;
  /// The upstream has closed its end.
  bool Ended = false;
  std::optional<ResponseHead> Head;
  std::string Replay;
  std::size_t Replayed = 0;
  std::string Buffer;
  std::size_t Used = 0;
  std::string Tail;
};

} // namespace acaciaroad::http

#endif
