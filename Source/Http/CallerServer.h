/// \file
/// The front door for callers: HTTP/1.1 on one port.

#ifndef ACACIAROAD_HTTP_CALLERSERVER_H
#define ACACIAROAD_HTTP_CALLERSERVER_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Core/Error.h"
#include "Http/ConnectionTable.h"
#include "Http/Exchange.h"
#include "Http/HeadCheck.h"
#include "Http/Listener.h"

namespace acaciaroad::http {

/// Settings of a CallerServer.
struct CallerServerOptions {
  std::string Host = "127.0.0.1";
  /// 0 takes any.
  int Port = 0;
  /// Traffic threads; each serves one request at a time.
  std::size_t Threads = 64;
  ConnectionTableOptions Connections;
  HeadLimits Limits;
  ExchangeOptions Exchanges;
  /// Wait for running requests when the server stops.
  std::chrono::milliseconds StopTimeout{30'000};
};

/// Numbers since the start.
struct CallerServerCounters {
  std::uint64_t Requests = 0;
  /// Requests refused before the handler.
  std::uint64_t Malformed = 0;
  /// Connections refused over the bound.
  std::uint64_t ConnectionsRefused = 0;
  std::uint64_t OpenConnections = 0;
};

/// Takes requests and runs a handler for each on a traffic thread. cpp-httplib
/// listens and accepts. Its own way to serve holds a thread for every idle
/// connection, changes header values and takes heads that contradict
/// themselves, so connections wait in one epoll for the traffic threads, and
/// heads go through the checks of HeadCheck.h.
class CallerServer {
public:
  using Handler = std::function<void(const std::shared_ptr<Exchange> &)>;

  /// Binds and starts. Fails with InvalidSettings for an address that cannot
  /// be bound.
  static core::Result<std::unique_ptr<CallerServer>>
  create(CallerServerOptions options, Handler handler);

  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;
  ~CallerServer();

  /// The port that was bound.
  int port() const { return Port; }

  /// Accepts no more, finishes what runs, closes idle connections and joins
  /// the threads.
  void stop();

  CallerServerCounters counters() const;

private:
  /// What becomes of a connection after a request.
  enum class Next : std::uint8_t { Serve, Drain, Close };

  CallerServer(CallerServerOptions options, Handler handler);

  core::Result<void> start();
  void work();
  void serve(ConnectionTable::Id id);
  Next serveBuffered(const std::shared_ptr<CallerConnection> &connection);
  Next serveHead(const std::shared_ptr<CallerConnection> &connection,
                 std::size_t length);
  Next serveRequest(const std::shared_ptr<CallerConnection> &connection,
                    RequestHead head);
  Next refuseHead(const std::shared_ptr<CallerConnection> &connection,
                  const core::Error &error);
  void handle(const std::shared_ptr<Exchange> &exchange);

  const CallerServerOptions Options;
  const Handler OnRequest;
  ConnectionTable Connections;
  Listener Door;
  int Port = 0;
  std::atomic<bool> Stopping{false};
  std::thread Acceptor;
  std::vector<std::thread> Workers;
  std::atomic<std::uint64_t> Requests{0};
  std::atomic<std::uint64_t> Malformed{0};
};

} // namespace acaciaroad::http

#endif
