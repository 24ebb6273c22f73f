#include "Http/CallerConnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <netdb.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "Http/SocketWait.h"

namespace acaciaroad::http {

namespace {

using core::ErrorKind;

constexpr std::string_view LineEnd = "\r\n";

} // namespace

CallerConnection::CallerConnection(int descriptor) : Descriptor(descriptor) {}

CallerConnection::~CallerConnection() { ::close(Descriptor); }

std::string CallerConnection::remoteAddress() const {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  auto *generic = reinterpret_cast<sockaddr *>(&address);
  std::array<char, NI_MAXHOST> host{};
  if (::getpeername(Descriptor, generic, &length) != 0 ||
      ::getnameinfo(generic, length, host.data(), host.size(), nullptr, 0,
                    NI_NUMERICHOST) != 0)
    return {};
  return host.data();
}

CallerConnection::Received CallerConnection::receive() {
  const ssize_t n = receiveInto(Descriptor, Buffer);
  const int ec = errno;
  if (n > 0)
    return Received::Bytes;
  const bool isOpen = n < 0 && (ec == EAGAIN || ec == EINTR);
  return isOpen ? Received::Nothing : Received::End;
}

void CallerConnection::consume(std::size_t n) {
  Used += n;
  if (Used < Buffer.size())
    return;
  Buffer.clear();
  Used = 0;
}

core::Result<void> CallerConnection::fill(core::TimePoint deadline) {
  while (true) {
    const Received got = receive();
    if (got == Received::Bytes)
      return {};
    if (got == Received::End)
      return core::fail(ErrorKind::BodyIncomplete, "the connection ended");
    if (!waitReadable(Descriptor, deadline))
      return core::fail(ErrorKind::BodyIncomplete, "no more bytes came");
  }
}

core::Result<std::size_t> CallerConnection::read(std::span<std::byte> out,
                                                 core::TimePoint deadline) {
  if (buffered().empty())
    if (core::Result<void> filled = fill(deadline); !filled)
      return tl::unexpected(filled.error());
  const std::size_t n = std::min(out.size(), buffered().size());
  std::memcpy(out.data(), buffered().data(), n);
  consume(n);
  return n;
}

core::Result<std::string> CallerConnection::readLine(std::size_t limit,
                                                     core::TimePoint deadline) {
  while (true) {
    const std::size_t end = buffered().find(LineEnd);
    if (std::min(end, buffered().size()) > limit)
      return core::fail(ErrorKind::MalformedRequest, "a line is too long");
    if (end != std::string_view::npos) {
      std::string line(buffered().substr(0, end));
      consume(end + LineEnd.size());
      return line;
    }
    if (core::Result<void> filled = fill(deadline); !filled)
      return tl::unexpected(filled.error());
  }
}

core::Result<void> CallerConnection::write(std::string_view head,
                                           std::span<const std::byte> body,
                                           core::TimePoint deadline) {
  while (!head.empty() || !body.empty()) {
    // sendmsg does not change what it sends; its type predates const.
    std::array<iovec, 2> parts{
        {{const_cast<char *>(head.data()), head.size()},
         {const_cast<std::byte *>(body.data()), body.size()}}};
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const ssize_t n =
        ::sendmsg(Descriptor, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno != EAGAIN && errno != EINTR)
      return core::fail(ErrorKind::AnswerIncomplete, "the caller is gone");
    if (n < 0 && !waitWritable(Descriptor, deadline))
      return core::fail(ErrorKind::AnswerIncomplete, "the caller is stuck");
    const auto sent = static_cast<std::size_t>(std::max<ssize_t>(n, 0));
    const std::size_t ofHead = std::min(sent, head.size());
    head.remove_prefix(ofHead);
    body = body.subspan(sent - ofHead);
  }
  return {};
}

bool CallerConnection::isPeerGone() const { return hasHungUp(Descriptor); }

void CallerConnection::shutdownSend() const { ::shutdown(Descriptor, SHUT_WR); }

void CallerConnection::resetOnClose() const {
  const linger now{1, 0};
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

} // namespace acaciaroad::http
