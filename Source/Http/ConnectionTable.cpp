#include "Http/ConnectionTable.h"

#include <algorithm>
#include <ctime>
#include <utility>
#include <vector>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "Http/SocketWait.h"

namespace acaciaroad::http {

namespace {

/// Tags of the descriptors that are no connection's.
constexpr std::uint64_t TimerTag = 0;
constexpr std::uint64_t EndTag = 1;
constexpr std::uint64_t FirstId = 8;

void closeDescriptor(int descriptor) {
  if (descriptor >= 0)
    ::close(descriptor);
}

} // namespace

ConnectionTable::ConnectionTable(ConnectionTableOptions options)
    : Options(options), Epoll(::epoll_create1(EPOLL_CLOEXEC)),
      Timer(::timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC)),
      EndSignal(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), LastId(FirstId) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = EndTag;
  ::epoll_ctl(Epoll, EPOLL_CTL_ADD, EndSignal, &event);
  watch(TimerTag, Timer, EPOLL_CTL_ADD);
}

ConnectionTable::~ConnectionTable() {
  closeDescriptor(EndSignal);
  closeDescriptor(Timer);
  closeDescriptor(Epoll);
}

bool ConnectionTable::isOpen() const {
  return Epoll >= 0 && Timer >= 0 && EndSignal >= 0;
}

void ConnectionTable::watch(Id id, int descriptor, int operation) const {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLONESHOT;
  event.data.u64 = id;
  ::epoll_ctl(Epoll, operation, descriptor, &event);
}

void ConnectionTable::adopt(int descriptor) {
  auto connection = std::make_shared<CallerConnection>(descriptor);
  const std::lock_guard lock(Mutex);
  if (Stopping || Entries.size() >= Options.Limit) {
    ++Refused;
    return;
  }
  const Id id = ++LastId;
  Entry &entry = Entries[id];
  entry.Connection = std::move(connection);
  entry.Deadline = core::BootClock::now() + Options.IdleTimeout;
  armTimer(entry.Deadline);
  watch(id, descriptor, EPOLL_CTL_ADD);
}

std::optional<ConnectionTable::Id> ConnectionTable::wait() {
  while (true) {
    epoll_event event{};
    if (::epoll_wait(Epoll, &event, 1, -1) != 1)
      continue;
    const Id tag = event.data.u64;
    if (tag == EndTag)
      return std::nullopt;
    if (tag != TimerTag)
      return tag;
    sweep();
  }
}

std::shared_ptr<CallerConnection> ConnectionTable::claim(Id id) {
  const std::lock_guard lock(Mutex);
  const auto it = Entries.find(id);
  if (it == Entries.end() || it->second.Now == State::Claimed)
    return nullptr;
  if (it->second.Now == State::Draining) {
    readOff(id, it->second);
    return nullptr;
  }
  it->second.Now = State::Claimed;
  return it->second.Connection;
}

void ConnectionTable::park(Id id) {
  const std::lock_guard lock(Mutex);
  Entry &entry = Entries.at(id);
  const auto now = core::BootClock::now();
  const bool isIdle = entry.Connection->buffered().empty();
  if (Stopping && (isIdle && !isReadable(entry.Connection->descriptor())))
    return eraseLocked(id);
  if (isIdle)
    entry.HeadDeadline.reset();
  else if (!entry.HeadDeadline)
    entry.HeadDeadline = now + Options.HeadTimeout;
  rest(id, entry, State::Parked,
       entry.HeadDeadline.value_or(now + Options.IdleTimeout));
}

void ConnectionTable::drain(Id id) {
  const std::lock_guard lock(Mutex);
  Entry &entry = Entries.at(id);
  entry.Connection->shutdownSend();
  rest(id, entry, State::Draining,
       core::BootClock::now() + Options.DrainTimeout);
}

void ConnectionTable::close(Id id) {
  const std::lock_guard lock(Mutex);
  eraseLocked(id);
}

void ConnectionTable::rest(Id id, Entry &entry, State state,
                           core::TimePoint deadline) {
  entry.Now = state;
  entry.Deadline = deadline;
  armTimer(deadline);
  watch(id, entry.Connection->descriptor(), EPOLL_CTL_MOD);
}

void ConnectionTable::readOff(Id id, Entry &entry) {
  CallerConnection &connection = *entry.Connection;
  auto got = CallerConnection::Received::Bytes;
  while (got == CallerConnection::Received::Bytes &&
         entry.Drained <= Options.DrainBytes) {
    got = connection.receive();
    entry.Drained += connection.buffered().size();
    connection.consume(connection.buffered().size());
  }
  if (got == CallerConnection::Received::Nothing)
    rest(id, entry, State::Draining, entry.Deadline);
  else
    eraseLocked(id);
}

void ConnectionTable::armTimer(core::TimePoint time) {
  if (time >= NextSweep)
    return;
  NextSweep = time;
  // A time of 0 would disarm the timer.
  const std::int64_t ns = std::max<std::int64_t>(core::toNanoseconds(time), 1);
  constexpr std::int64_t PerSecond = 1'000'000'000;
  itimerspec setting{};
  setting.it_value.tv_sec = ns / PerSecond;
  setting.it_value.tv_nsec = ns % PerSecond;
  ::timerfd_settime(Timer, TFD_TIMER_ABSTIME, &setting, nullptr);
}

void ConnectionTable::sweep() {
  std::uint64_t expirations = 0;
  const std::lock_guard lock(Mutex);
  (void)::read(Timer, &expirations, sizeof expirations);
  const auto now = core::BootClock::now();
  std::vector<Id> over;
  NextSweep = core::TimePoint::max();
  core::TimePoint next = NextSweep;
  for (const auto &[id, entry] : Entries) {
    if (entry.Now == State::Claimed)
      continue;
    if (entry.Deadline > now) {
      next = std::min(next, entry.Deadline);
      continue;
    }
    // One thread may be about to claim what it has seen a request on.
    const bool isAwaited = entry.Now == State::Parked && !entry.HeadDeadline &&
                           isReadable(entry.Connection->descriptor());
    if (!isAwaited)
      over.push_back(id);
  }
  for (const Id id : over)
    eraseLocked(id);
  armTimer(next);
  watch(TimerTag, Timer, EPOLL_CTL_MOD);
}

void ConnectionTable::eraseLocked(Id id) {
  Entries.erase(id);
  if (Entries.empty())
    Emptied.notify_all();
}

void ConnectionTable::closeIdle(core::TimePoint deadline) {
  std::unique_lock lock(Mutex);
  Stopping = true;
  std::vector<Id> idle;
  for (const auto &[id, entry] : Entries)
    if (entry.Now == State::Parked && entry.Connection->buffered().empty() &&
        !isReadable(entry.Connection->descriptor()))
      idle.push_back(id);
  for (const Id id : idle)
    eraseLocked(id);
  Emptied.wait_until(lock, deadline, [this] { return Entries.empty(); });
}

void ConnectionTable::endWaits() { eventfd_write(EndSignal, 1); }

std::size_t ConnectionTable::size() const {
  const std::lock_guard lock(Mutex);
  return Entries.size();
}

std::uint64_t ConnectionTable::refused() const {
  const std::lock_guard lock(Mutex);
  return Refused;
}

} // namespace acaciaroad::http
