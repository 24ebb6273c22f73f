/// \file
/// A timer whose handler never runs once it was cancelled.

#ifndef ACACIAROAD_NET_TIMEOUT_H
#define ACACIAROAD_NET_TIMEOUT_H

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Core/Clock.h"

namespace acaciaroad::net {

/// Guards one step at a time. Where a loop falls behind, the end of a step and
/// its timeout are due at once; an Asio timer runs its handler then even if it
/// is cancelled. This one doesn't. All members are called on the loop's thread.
class Timeout {
public:
  explicit Timeout(boost::asio::io_context &loop) : Timer(loop) {}
  ~Timeout() { cancel(); }
  Timeout(const Timeout &) = delete;
  Timeout &operator=(const Timeout &) = delete;

  /// Has \p handler called after \p length, in place of an earlier one.
  void start(core::Duration length, std::function<void()> handler);

  void cancel();

private:
  /// Returns the handler that has not run, if any; it won't run.
  std::function<void()> takePending();

  boost::asio::steady_timer Timer;
  /// Owned by the pending operation, so that a handler may own the timeout.
  std::weak_ptr<std::function<void()>> Pending;
};

} // namespace acaciaroad::net

#endif
