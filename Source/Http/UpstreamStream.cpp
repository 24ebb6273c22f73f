#include "Http/UpstreamStream.h"

#include <algorithm>
#include <cerrno>
#include <iterator>

#include <fmt/format.h>
#include <sys/socket.h>

#include "Http/SocketWait.h"

namespace acaciaroad::http {

namespace {

/// Writes are gathered up to this size.
constexpr std::size_t GatherBytes = 65536;
/// Interim answers before the answer proper.
constexpr int InterimLimit = 8;
constexpr std::size_t TailBytes = 3;

bool isInterim(const ResponseHead &head) { return head.Status < 200; }

} // namespace

UpstreamStream::UpstreamStream(int descriptor, std::string_view method,
                               core::TimePoint deadline)
    : Descriptor(descriptor), Method(method), Deadline(deadline) {}

bool UpstreamStream::is_readable() const {
  return buffered() > 0 || isReadable(Descriptor);
}

ssize_t UpstreamStream::write(const char *ptr, size_t size) {
  if (DropsWrites)
    return static_cast<ssize_t>(size);
  Unsent.append(ptr, size);
  if (Unsent.size() >= GatherBytes && !flush())
    return -1;
  return static_cast<ssize_t>(size);
}

bool UpstreamStream::flush() {
  std::string_view rest = Unsent;
  while (!rest.empty()) {
    if (Sent && isReadable(Descriptor)) {
      AnsweredEarly = true;
      return false;
    }
    const ssize_t n = ::send(Descriptor, rest.data(), rest.size(),
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno != EAGAIN && errno != EINTR)
      return false;
    if (n < 0 && !waitWritable(Descriptor, Deadline))
      return false;
    if (n > 0) {
      Sent = true;
      rest.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  Unsent.clear();
  return true;
}

ssize_t UpstreamStream::read(char *ptr, size_t size) {
  if (!DropsWrites && !Unsent.empty() && !flush() && !AnsweredEarly)
    return -1;
  if (!Head && !readHead())
    return -1;
  if (Replayed < Replay.size())
    return take(Replay, Replayed, ptr, size);
  if (buffered() == 0 && !receive())
    return Ended && Head->Body == Framing::UntilClose ? 0 : -1;
  const ssize_t n = take(Buffer, Used, ptr, size);
  keepTail({ptr, static_cast<std::size_t>(n)});
  return n;
}

ssize_t UpstreamStream::take(std::string &from, std::size_t &used, char *ptr,
                             size_t size) {
  const std::size_t n = std::min(size, from.size() - used);
  std::copy_n(from.data() + used, n, ptr);
  used += n;
  return static_cast<ssize_t>(n);
}

void UpstreamStream::keepTail(std::string_view bytes) {
  Tail.append(bytes.substr(bytes.size() - std::min(bytes.size(), TailBytes)));
  if (Tail.size() > TailBytes)
    Tail.erase(0, Tail.size() - TailBytes);
}

bool UpstreamStream::receive() {
  if (buffered() == 0) {
    Buffer.clear();
    Used = 0;
  }
  while (true) {
    const ssize_t n = receiveInto(Descriptor, Buffer);
    const int ec = errno;
    if (n > 0)
      return true;
    Ended = n == 0;
    if (Ended || (ec != EAGAIN && ec != EINTR))
      return false;
    if (Head && BeforeWait && !BeforeWait())
      return false;
    if (!waitReadable(Descriptor, Deadline))
      return false;
  }
}

bool UpstreamStream::readHead() {
  const HeadLimits limits;
  for (int n = 0; n < InterimLimit; ++n) {
    auto length = headLength(std::string_view(Buffer).substr(Used));
    while (!length) {
      if (buffered() > limits.HeadBytes || !receive())
        return false;
      length = headLength(std::string_view(Buffer).substr(Used));
    }
    auto head = checkResponseHead(
        std::string_view(Buffer).substr(Used, *length), Method, limits);
    if (!head)
      return false;
    Used += *length;
    if (isInterim(*head))
      continue;
    Head = std::move(*head);
    startReplay();
    return true;
  }
  return false;
}

void UpstreamStream::startReplay() {
  auto out = std::back_inserter(Replay);
  fmt::format_to(out, "HTTP/1.1 {} \r\n", Head->Status);
  if (Head->Body == Framing::Chunked)
    Replay += "Transfer-Encoding: chunked\r\n";
  else if (Head->Body != Framing::UntilClose)
    fmt::format_to(out, "Content-Length: {}\r\n",
                   Head->Body == Framing::Sized ? Head->BodyLength : 0);
  Replay += "\r\n";
}

void UpstreamStream::get_remote_ip_and_port(std::string & /*ip*/,
                                            int & /*port*/) const {}

void UpstreamStream::get_local_ip_and_port(std::string & /*ip*/,
                                           int & /*port*/) const {}

} // namespace acaciaroad::http
