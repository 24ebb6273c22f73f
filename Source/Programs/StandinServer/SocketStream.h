/// \file
/// A socket as a stream of the HTTP library.

#ifndef ACACIAROAD_STANDINSERVER_SOCKETSTREAM_H
#define ACACIAROAD_STANDINSERVER_SOCKETSTREAM_H

#include <array>
#include <cstddef>
#include <span>
#include <string>

#include <httplib.h>

#include "Core/Clock.h"

namespace acaciaroad::standin {

/// Reads through a buffer, since the library takes header lines byte by byte,
/// and waits in poll. Doesn't own the socket.
class SocketStream : public httplib::Stream {
public:
  SocketStream(socket_t socket, core::Duration timeout)
      : Socket(socket), Timeout(timeout) {}

  /// Waits for the first byte of a request. Returns false if the connection
  /// was closed or \p idle is over.
  bool awaitRequest(core::Duration idle);

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *ptr, std::size_t size) override;
  ssize_t write(const char *ptr, std::size_t size) override;
  void get_remote_ip_and_port(std::string &ip, int &port) const override;
  void get_local_ip_and_port(std::string &ip, int &port) const override;
  socket_t socket() const override { return Socket; }

private:
  static constexpr std::size_t BufferBytes = 8192;

  bool fill();
  bool awaitEvents(short events, core::Duration timeout) const;

  const socket_t Socket;
  const core::Duration Timeout;
  std::array<char, BufferBytes> Buffer{};
  std::span<const char> Unread;
};

} // namespace acaciaroad::standin

#endif
