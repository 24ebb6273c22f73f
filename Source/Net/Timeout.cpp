#include "Net/Timeout.h"

#include <utility>

namespace acaciaroad::net {

void Timeout::start(core::Duration length, std::function<void()> handler) {
  // What the earlier handler owns may include this timeout.
  const auto dropped = takePending();
  const auto held = std::make_shared<std::function<void()>>(std::move(handler));
  Pending = held;
  Timer.expires_after(length);
  Timer.async_wait([held](boost::system::error_code ec) {
    if (ec)
      return;
    if (const auto run = std::exchange(*held, nullptr))
      run();
  });
}

void Timeout::cancel() {
  // As above.
  const auto dropped = takePending();
  Timer.cancel();
}

std::function<void()> Timeout::takePending() {
  const auto held = std::exchange(Pending, {}).lock();
  return held ? std::exchange(*held, nullptr) : nullptr;
}

} // namespace acaciaroad::net
