/// \file
/// Ends an order from another thread.

#ifndef ACACIAROAD_HTTP_CANCELTOKEN_H
#define ACACIAROAD_HTTP_CANCELTOKEN_H

#include <mutex>

namespace acaciaroad::http {

/// Cuts the connection that an order uses at the moment. Callable from any
/// thread.
class CancelToken {
public:
  /// Ends the order; one that has not started will not.
  void cancel();

  bool isCancelled() const;

  /// Names the socket to cut; returns false if the order was cancelled.
  [[nodiscard]] bool attach(int descriptor);

  /// Must be called before the socket is closed or used for another order.
  void detach();

private:
  mutable std::mutex Mutex;
  int Descriptor = -1;
  bool Cancelled = false;
};

} // namespace acaciaroad::http

#endif
