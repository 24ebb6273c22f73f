#include "Platform/LogConnection.h"

namespace acaciaroad::platform {

namespace {

constexpr std::size_t MaxIdleConnections = 4;

} // namespace

LogConnection::LogConnection(const core::Endpoint &endpoint,
                             core::Duration connectTimeout)
    : Http(endpoint.Host, endpoint.Port) {
  Http.set_connection_timeout(connectTimeout);
  Http.set_write_timeout(connectTimeout);
  Http.set_keep_alive(true);
  Http.set_tcp_nodelay(true);
  // A stop request that comes before the connection is opened can't break it;
  // the answer is then not waited for. The library calls this hook on the
  // calling thread, before it counts the request as running.
  Http.set_socket_options([this](socket_t) {
    if (Stop.stop_requested())
      Http.set_read_timeout(0);
  });
}

LogConnectionPool::LogConnectionPool(core::Endpoint endpoint,
                                     core::Duration connectTimeout)
    : Endpoint(std::move(endpoint)), ConnectTimeout(connectTimeout) {}

std::unique_ptr<LogConnection> LogConnectionPool::take() {
  {
    const std::lock_guard lock(Mutex);
    if (!Idle.empty()) {
      auto out = std::move(Idle.back());
      Idle.pop_back();
      return out;
    }
  }
  return std::make_unique<LogConnection>(Endpoint, ConnectTimeout);
}

void LogConnectionPool::giveBack(std::unique_ptr<LogConnection> connection) {
  const std::lock_guard lock(Mutex);
  if (Idle.size() < MaxIdleConnections)
    Idle.push_back(std::move(connection));
}

} // namespace acaciaroad::platform
