#include "Net/Timeout.h"

#include <utility>

namespace acaciaroad::net {

void Timeout::start(core::Duration length, std::function<void()> handler) {
  cancel();
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
  if (const auto held = Pending.lock())
    // What the handler owns may include this timeout.
    const auto dropped = std::exchange(*held, nullptr);
  Pending.reset();
  Timer.cancel();
}

} // namespace acaciaroad::net
