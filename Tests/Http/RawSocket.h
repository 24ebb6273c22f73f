/// \file
/// A plain TCP connection for tests that send what no library would.

#ifndef ACACIAROAD_TESTS_HTTP_RAWSOCKET_H
#define ACACIAROAD_TESTS_HTTP_RAWSOCKET_H

#include <array>
#include <string>
#include <string_view>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace acaciaroad::tests {

/// Longest wait for bytes; reached only by a fault.
inline constexpr int PatienceSeconds = 20;

class RawSocket {
public:
  explicit RawSocket(int descriptor) : Descriptor(descriptor) {
    const timeval patience{PatienceSeconds, 0};
    ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience,
                 sizeof patience);
  }
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;
  ~RawSocket() { ::close(Descriptor); }

  /// Returns a descriptor connected to \p port of this machine.
  static int connect(int port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    const int ec =
        ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address),
                  sizeof address);
    cr_assert_eq(ec, 0);
    return descriptor;
  }

  /// Returns a descriptor that listens; see portOf().
  static int listen() {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(0);
    const int ec =
        ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address),
               sizeof address);
    cr_assert_eq(ec, 0);
    ::listen(descriptor, 16);
    return descriptor;
  }

  static int portOf(int descriptor) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
  }

  void send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t n =
          ::send(Descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0)
        return;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }

  void endSend() const { ::shutdown(Descriptor, SHUT_WR); }

  /// Closes with a reset.
  void resetOnClose() const {
    const linger now{1, 0};
    ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }

  /// Receives until the other end closes.
  std::string receiveAll() const {
    std::string out;
    while (receiveMore(out))
      ;
    return out;
  }

  /// Receives until \p out holds \p mark; returns false if it never does.
  bool receiveUntil(std::string &out, std::string_view mark) const {
    while (out.find(mark) == std::string::npos)
      if (!receiveMore(out))
        return false;
    return true;
  }

private:
  static sockaddr_in loopback(int port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
  }

  bool receiveMore(std::string &out) const {
    std::array<char, 16384> buf{};
    const ssize_t n = ::recv(Descriptor, buf.data(), buf.size(), 0);
    if (n > 0)
      out.append(buf.data(), static_cast<std::size_t>(n));
    return n > 0;
  }

  const int Descriptor;
};

} // namespace acaciaroad::tests

#endif
