/// \file
/// HTTP server of the stand-ins.

#ifndef ACACIAROAD_STANDINSERVER_STANDINSERVER_H
#define ACACIAROAD_STANDINSERVER_STANDINSERVER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string_view>
#include <thread>

#include <httplib.h>

#include "Core/Error.h"

namespace acaciaroad::standin {

/// Connections that are served at once; more wait.
inline constexpr std::size_t DefaultMaxConnections = 1024;

/// The HTTP library's server with two differences: an idle connection sleeps
/// until bytes come, and a handler can reach the connection it runs for.
class StandinServer : private httplib::Server {
public:
  /// Adds handlers to the library's server before it starts.
  using AddRoutes = std::function<void(httplib::Server &)>;

  /// Listens on \p address ("ip:port", port 0 lets the system choose) and
  /// serves on threads of its own. Fails with InvalidArgument.
  static core::Result<std::unique_ptr<StandinServer>>
  create(std::string_view address, const AddRoutes &addRoutes,
         std::size_t maxConnections = DefaultMaxConnections);

  /// Stops.
  ~StandinServer() override;

  std::uint16_t port() const { return Port; }

  /// Refuses new connections, closes idle ones and waits for running
  /// handlers.
  void stop();

  /// Called within a handler: breaks its connection, so that the client
  /// receives no answer.
  static void dropConnection();

  /// Called within a handler: the socket it runs for.
  static int currentSocket();

private:
  StandinServer() = default;
  bool process_and_close_socket(socket_t sock) override;
  void serve(socket_t sock);
  bool enterIdle(socket_t sock);
  void leaveIdle(socket_t sock);
  bool isStopping();

  std::uint16_t Port = 0;
  std::mutex Mutex;
  /// Sockets of connections on which no request is running.
  std::set<socket_t> Idle;
  bool Stopping = false;
  std::thread Listener;
};

} // namespace acaciaroad::standin

#endif
