/// \file
/// Durations as whole milliseconds, for logs and header fields.

#ifndef ACACIAROAD_CORE_MILLISECONDS_H
#define ACACIAROAD_CORE_MILLISECONDS_H

#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::core {

/// Returns \p duration, rounded towards zero.
inline std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

} // namespace acaciaroad::core

#endif
