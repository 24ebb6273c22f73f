#include "Http/SocketWait.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <limits>
#include <vector>

#include <poll.h>
#include <sys/socket.h>

namespace acaciaroad::http {

namespace {

/// Polls once for \p milliseconds; returns the events, or 0.
short pollOnce(int descriptor, short events, int milliseconds) {
  pollfd waiter{descriptor, events, 0};
  if (::poll(&waiter, 1, milliseconds) <= 0)
    return 0;
  return waiter.revents;
}

int millisecondsUntil(core::TimePoint deadline) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      deadline - core::BootClock::now());
  constexpr std::int64_t Longest = std::numeric_limits<int>::max();
  return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, Longest));
}

bool waitFor(int descriptor, short events, core::TimePoint deadline) {
  while (true) {
    const int left = millisecondsUntil(deadline);
    if (pollOnce(descriptor, events, left) != 0)
      return true;
    if (left == 0)
      return false;
  }
}

} // namespace

ssize_t receiveInto(int descriptor, std::string &buffer) {
  constexpr std::size_t ReceiveBytes = 65536;
  // To grow the buffer first would clear bytes that are overwritten.
  thread_local std::vector<char> scratch(ReceiveBytes);
  const ssize_t n =
      ::recv(descriptor, scratch.data(), scratch.size(), MSG_DONTWAIT);
  if (n > 0)
    buffer.append(scratch.data(), static_cast<std::size_t>(n));
  return n;
}

bool waitReadable(int descriptor, core::TimePoint deadline) {
  return waitFor(descriptor, POLLIN, deadline);
}

bool waitWritable(int descriptor, core::TimePoint deadline) {
  return waitFor(descriptor, POLLOUT, deadline);
}

bool isReadable(int descriptor) { return pollOnce(descriptor, POLLIN, 0) != 0; }

bool hasHungUp(int descriptor) {
  return pollOnce(descriptor, POLLRDHUP, 0) != 0;
}

} // namespace acaciaroad::http
