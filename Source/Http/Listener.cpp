#include "Http/Listener.h"

#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace acaciaroad::http {

namespace {

/// Connections that may wait to be accepted; the library fixes it at 5.
constexpr int Backlog = 1024;

void enable(int descriptor, int level, int option) {
  const int on = 1;
  ::setsockopt(descriptor, level, option, &on, sizeof on);
}

/// Runs jobs at once: to give a socket away takes no thread.
class DirectQueue : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> job) override { job(); }
  void shutdown() override {}
};

} // namespace

Listener::Listener(std::function<void(int descriptor)> onAccept)
    : OnAccept(std::move(onAccept)) {
  // The library's own choice, SO_REUSEPORT, lets two processes share a port.
  set_socket_options([this](socket_t sock) {
    Descriptor = sock;
    enable(sock, SOL_SOCKET, SO_REUSEADDR);
  });
  new_task_queue = [this] {
    Running.set_value();
    return new DirectQueue;
  };
}

int Listener::bind(const std::string &host, int port) {
  if (port == 0)
    port = bind_to_any_port(host);
  else if (!bind_to_port(host, port))
    port = -1;
  if (port > 0)
    ::listen(Descriptor, Backlog);
  return port;
}

void Listener::run() { listen_after_bind(); }

bool Listener::process_and_close_socket(socket_t sock) {
  enable(sock, IPPROTO_TCP, TCP_NODELAY);
  OnAccept(sock);
  return true;
}

} // namespace acaciaroad::http
