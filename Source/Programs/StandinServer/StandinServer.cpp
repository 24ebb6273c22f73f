#include "Programs/StandinServer/StandinServer.h"

#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Core/Endpoint.h"
#include "Programs/StandinServer/ConnectionThreads.h"
#include "Programs/StandinServer/SocketStream.h"

namespace acaciaroad::standin {

namespace {

constexpr int ListenBacklog = 1024;
constexpr auto IdleTimeout = std::chrono::seconds(60);
constexpr auto TransferTimeout = std::chrono::seconds(10);

thread_local socket_t ConnectionOfThread = -1;

void enableNoDelay(socket_t sock) {
  const int on = 1;
  ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::uint16_t portOf(socket_t sock) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(sock, reinterpret_cast<sockaddr *>(&address), &size);
  return ntohs(address.sin_port);
}

} // namespace

core::Result<std::unique_ptr<StandinServer>>
StandinServer::create(std::string_view address, const AddRoutes &addRoutes,
                      std::size_t maxConnections) {
  const auto endpoint = core::parseEndpoint(address);
  if (!endpoint)
    return tl::unexpected(endpoint.error());
  std::unique_ptr<StandinServer> out(new StandinServer);
  out->new_task_queue = [maxConnections] {
    return new ConnectionThreads(maxConnections);
  };
  const bool isBound = endpoint->Port == 0
                           ? out->bind_to_any_port(endpoint->Host) >= 0
                           : out->bind_to_port(endpoint->Host, endpoint->Port);
  if (!isBound)
    return core::fail(core::ErrorKind::InvalidArgument,
                      "cannot listen on " + std::string(address));
  // The library's own backlog is too short for a burst of connections.
  ::listen(out->svr_sock_, ListenBacklog);
  out->Port = portOf(out->svr_sock_);
  addRoutes(*out);
  out->Listener = std::thread([it = out.get()] { it->listen_after_bind(); });
  return out;
}

StandinServer::~StandinServer() { stop(); }

void StandinServer::stop() {
  {
    const std::lock_guard lock(Mutex);
    Stopping = true;
    // Wakes the threads of idle connections; running handlers go on.
    for (const socket_t it : Idle)
      ::shutdown(it, SHUT_RD);
  }
  if (!Listener.joinable())
    return;
  ::shutdown(svr_sock_, SHUT_RDWR);
  Listener.join();
}

void StandinServer::dropConnection() {
  ::shutdown(ConnectionOfThread, SHUT_RDWR);
}

int StandinServer::currentSocket() { return ConnectionOfThread; }

bool StandinServer::process_and_close_socket(socket_t sock) {
  ConnectionOfThread = sock;
  enableNoDelay(sock);
  serve(sock);
  ::shutdown(sock, SHUT_RDWR);
  ::close(sock);
  return true;
}

void StandinServer::serve(socket_t sock) {
  SocketStream stream(sock, TransferTimeout);
  bool isClosed = false;
  while (!isClosed && enterIdle(sock)) {
    const bool hasRequest = stream.awaitRequest(IdleTimeout);
    leaveIdle(sock);
    if (!hasRequest ||
        !process_request(stream, isStopping(), isClosed, nullptr))
      return;
  }
}

bool StandinServer::enterIdle(socket_t sock) {
  const std::lock_guard lock(Mutex);
  if (Stopping)
    return false;
  Idle.insert(sock);
  return true;
}

void StandinServer::leaveIdle(socket_t sock) {
  const std::lock_guard lock(Mutex);
  Idle.erase(sock);
}

bool StandinServer::isStopping() {
  const std::lock_guard lock(Mutex);
  return Stopping;
}

} // namespace acaciaroad::standin
