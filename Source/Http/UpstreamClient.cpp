#include "Http/UpstreamClient.h"

#include <algorithm>
#include <utility>

namespace acaciaroad::http {

namespace {

using core::ErrorKind;

} // namespace

UpstreamClient::UpstreamClient(UpstreamClientOptions options)
    : Options(std::move(options)) {}

core::Result<void> UpstreamClient::execute(const UpstreamOrder &order,
                                           const UpstreamSinks &sinks,
                                           CancelToken &cancel) {
  auto connection = acquire(order.Deadline);
  if (!connection)
    return tl::unexpected(connection.error());
  core::Result<void> out = (*connection)->execute(order, sinks, cancel);
  release(std::move(*connection));
  return out;
}

core::Result<std::unique_ptr<UpstreamConnection>>
UpstreamClient::acquire(core::TimePoint deadline) {
  std::unique_lock lock(Mutex);
  ++Counters.Orders;
  const bool isFree = Released.wait_until(lock, deadline, [this] {
    return !IdleConnections.empty() || Open < Options.ConnectionLimit;
  });
  if (!isFree)
    return core::fail(ErrorKind::QueueFull, "no connection came free");
  const auto now = core::BootClock::now();
  if (now >= deadline)
    return core::fail(ErrorKind::DeadlineTooShort, "no time to send");
  if (auto idle = takeIdleLocked(now))
    return idle;
  ++Open;
  ++Counters.Connects;
  lock.unlock();
  auto connected = UpstreamConnection::connect(
      Options.Host, Options.Port,
      std::min(deadline, now + Options.ConnectTimeout));
  if (!connected)
    release(nullptr);
  return connected;
}

std::unique_ptr<UpstreamConnection>
UpstreamClient::takeIdleLocked(core::TimePoint now) {
  while (!IdleConnections.empty()) {
    Idle it = std::move(IdleConnections.back());
    IdleConnections.pop_back();
    if (now - it.Since < Options.IdleTimeout && it.Connection->isFresh())
      return std::move(it.Connection);
    ++Counters.Stale;
    --Open;
  }
  return nullptr;
}

void UpstreamClient::release(std::unique_ptr<UpstreamConnection> connection) {
  {
    const std::lock_guard lock(Mutex);
    if (connection && connection->isReusable())
      IdleConnections.push_back(
          {std::move(connection), core::BootClock::now()});
    else
      --Open;
  }
  Released.notify_one();
}

UpstreamClientCounters UpstreamClient::counters() const {
  const std::lock_guard lock(Mutex);
  UpstreamClientCounters out = Counters;
  out.OpenConnections = Open;
  return out;
}

} // namespace acaciaroad::http
