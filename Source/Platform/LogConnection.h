/// \file
/// Keep-alive connections to the log service.

#ifndef ACACIAROAD_PLATFORM_LOGCONNECTION_H
#define ACACIAROAD_PLATFORM_LOGCONNECTION_H

#include <memory>
#include <mutex>
#include <stop_token>
#include <vector>

#include <httplib.h>

#include "Core/Clock.h"
#include "Core/Endpoint.h"

namespace acaciaroad::platform {

/// One connection, used by one thread at a time.
class LogConnection {
public:
  LogConnection(const core::Endpoint &endpoint, core::Duration connectTimeout);

  /// Runs \p call on the client with \p timeout for its answer. A stop request
  /// breaks the connection, also while the call waits.
  template <typename Call>
  httplib::Result run(std::stop_token stop, core::Duration timeout, Call call) {
    Stop = std::move(stop);
    Http.set_read_timeout(timeout);
    const std::stop_callback onStop(Stop, [this] { Http.stop(); });
    return call(Http);
  }

private:
  httplib::Client Http;
  std::stop_token Stop;
};

/// Hands out idle connections, and opens one where none is idle.
class LogConnectionPool {
public:
  LogConnectionPool(core::Endpoint endpoint, core::Duration connectTimeout);

  std::unique_ptr<LogConnection> take();
  /// Keeps \p connection for later, or closes it if enough are idle.
  void giveBack(std::unique_ptr<LogConnection> connection);

private:
  const core::Endpoint Endpoint;
  const core::Duration ConnectTimeout;
  std::mutex Mutex;
  std::vector<std::unique_ptr<LogConnection>> Idle;
};

} // namespace acaciaroad::platform

#endif
