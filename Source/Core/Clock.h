/// \file
/// The clock that leases and deadlines are measured on.

#ifndef ACACIAROAD_CORE_CLOCK_H
#define ACACIAROAD_CORE_CLOCK_H

#include <chrono>
#include <functional>

namespace acaciaroad::core {

/// A length of time.
using Duration = std::chrono::nanoseconds;

/// A clock over CLOCK_BOOTTIME, which goes on while the machine is suspended;
/// a lease must not outlive a suspension. All processes of one instance read
/// the same value.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The name is fixed by the standard's Clock requirements.
  static constexpr bool is_steady = true; // NOLINT
  static time_point now();
};

/// A moment on the boot clock of this instance.
using TimePoint = BootClock::time_point;

/// Source of the current time; tests pass a virtual clock.
using NowFunction = std::function<TimePoint()>;

/// Returns whole nanoseconds since boot, for messages to the own upstream.
inline std::int64_t toNanoseconds(TimePoint time) {
  return time.time_since_epoch().count();
}

/// Inverse of toNanoseconds.
inline TimePoint fromNanoseconds(std::int64_t ns) {
  return TimePoint(Duration(ns));
}

} // namespace acaciaroad::core

#endif
