#include "Programs/StandinServer/SocketStream.h"

#include <algorithm>
#include <cerrno>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

namespace acaciaroad::standin {

namespace {

void describe(const sockaddr_in &address, std::string &ip, int &port) {
  std::array<char, INET_ADDRSTRLEN> buf{};
  inet_ntop(AF_INET, &address.sin_addr, buf.data(), buf.size());
  ip = buf.data();
  port = ntohs(address.sin_port);
}

using AddressCall = int (*)(int, sockaddr *, socklen_t *);

void describeBy(AddressCall call, int socket, std::string &ip, int &port) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (call(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0)
    describe(address, ip, port);
}

} // namespace

bool SocketStream::awaitRequest(core::Duration idle) {
  if (!Unread.empty())
    return true;
  return awaitEvents(POLLIN, idle) && fill();
}

bool SocketStream::is_readable() const {
  return !Unread.empty() || awaitEvents(POLLIN, Timeout);
}

bool SocketStream::is_writable() const { return awaitEvents(POLLOUT, Timeout); }

ssize_t SocketStream::read(char *ptr, std::size_t size) {
  if (Unread.empty() && !(awaitEvents(POLLIN, Timeout) && fill()))
    return -1;
  const std::size_t n = std::min(size, Unread.size());
  std::copy_n(Unread.begin(), n, ptr);
  Unread = Unread.subspan(n);
  return static_cast<ssize_t>(n);
}

ssize_t SocketStream::write(const char *ptr, std::size_t size) {
  if (!is_writable())
    return -1;
  ssize_t n = 0;
  do
    n = ::send(Socket, ptr, size, MSG_NOSIGNAL);
  while (n < 0 && errno == EINTR);
  return n;
}

void SocketStream::get_remote_ip_and_port(std::string &ip, int &port) const {
  describeBy(::getpeername, Socket, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string &ip, int &port) const {
  describeBy(::getsockname, Socket, ip, port);
}

bool SocketStream::fill() {
  ssize_t n = 0;
  do
    n = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
  while (n < 0 && errno == EINTR);
  if (n <= 0)
    return false;
  Unread = std::span<const char>(Buffer.data(), static_cast<std::size_t>(n));
  return true;
}

bool SocketStream::awaitEvents(short events, core::Duration timeout) const {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  pollfd entry{Socket, events, 0};
  int n = 0;
  do
    n = ::poll(&entry, 1, static_cast<int>(ms));
  while (n < 0 && errno == EINTR);
  return n > 0;
}

} // namespace acaciaroad::standin
