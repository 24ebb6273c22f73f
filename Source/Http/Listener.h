/// \file
/// Listens and accepts through cpp-httplib.

#ifndef ACACIAROAD_HTTP_LISTENER_H
#define ACACIAROAD_HTTP_LISTENER_H

#include <functional>
#include <future>
#include <string>

#include <httplib.h>

namespace acaciaroad::http {

/// A server of the library that gives accepted sockets away in place of
/// serving them.
class Listener : public httplib::Server {
public:
  /// \p onAccept takes over each descriptor, on the accepting thread.
  explicit Listener(std::function<void(int descriptor)> onAccept);

  /// Binds; \p port 0 takes any. Returns the port, or -1.
  int bind(const std::string &host, int port);

  /// Accepts until stop().
  void run();

  /// Returns when run() accepts, so that stop() has an effect.
  void waitUntilRunning() { Running.get_future().wait(); }

private:
  bool process_and_close_socket(socket_t sock) override;

  const std::function<void(int)> OnAccept;
  std::promise<void> Running;
  int Descriptor = -1;
};

} // namespace acaciaroad::http

#endif
