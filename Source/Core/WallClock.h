/// \file
/// Calendar time, for records and reports only; no decision depends on it.

#ifndef ACACIAROAD_CORE_WALLCLOCK_H
#define ACACIAROAD_CORE_WALLCLOCK_H

#include <chrono>
#include <cstdint>

namespace acaciaroad::core {

/// Returns milliseconds since the Unix epoch.
inline std::int64_t unixMilliseconds() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

} // namespace acaciaroad::core

#endif
