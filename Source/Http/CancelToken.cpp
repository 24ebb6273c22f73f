#include "Http/CancelToken.h"

#include <sys/socket.h>

namespace acaciaroad::http {

void CancelToken::cancel() {
  const std::lock_guard lock(Mutex);
  Cancelled = true;
  if (Descriptor >= 0)
    ::shutdown(Descriptor, SHUT_RDWR);
}

bool CancelToken::isCancelled() const {
  const std::lock_guard lock(Mutex);
  return Cancelled;
}

bool CancelToken::attach(int descriptor) {
  const std::lock_guard lock(Mutex);
  Descriptor = descriptor;
  return !Cancelled;
}

void CancelToken::detach() {
  const std::lock_guard lock(Mutex);
  Descriptor = -1;
}

} // namespace acaciaroad::http
