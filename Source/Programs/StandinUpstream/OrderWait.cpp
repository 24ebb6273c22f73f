#include "Programs/StandinUpstream/OrderWait.h"

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace acaciaroad::standinupstream {

namespace {

constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
constexpr core::Duration LongestPoll = std::chrono::hours(1);

timespec timespecOf(core::Duration duration) {
  const auto bounded =
      std::clamp(duration, core::Duration::zero(), LongestPoll).count();
  timespec out{};
  out.tv_sec = bounded / NanosecondsPerSecond;
  out.tv_nsec = bounded % NanosecondsPerSecond;
  return out;
}

} // namespace

core::Result<std::shared_ptr<OrderWait>> OrderWait::create(int connection) {
  const int event = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (event < 0)
    return core::fail(core::ErrorKind::Internal, "no event descriptor left");
  return std::shared_ptr<OrderWait>(new OrderWait(connection, event));
}

OrderWait::~OrderWait() { ::close(Event); }

void OrderWait::signal() {
  const std::uint64_t one = 1;
  // A counter that is full has already been signalled.
  [[maybe_unused]] const ssize_t n = ::write(Event, &one, sizeof(one));
}

Wake OrderWait::wait(core::TimePoint until) {
  pollfd entries[] = {{Event, POLLIN, 0}, {Connection, POLLRDHUP, 0}};
  for (;;) {
    const timespec left = timespecOf(until - core::BootClock::now());
    const int n = ::ppoll(entries, std::size(entries), &left, nullptr);
    if (n < 0 && errno == EINTR)
      continue;
    if (n == 0 && core::BootClock::now() < until)
      continue;
    if (n == 0)
      return Wake::Timeout;
    if (n < 0 || entries[1].revents != 0)
      return Wake::Closed;
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t bytes = ::read(Event, &count, sizeof(count));
    return Wake::Signal;
  }
}

} // namespace acaciaroad::standinupstream
