/// \file
/// Detects an unannounced cold start of a warm upstream.

#ifndef ACACIAROAD_UPSTREAM_COLDSTARTDETECTOR_H
#define ACACIAROAD_UPSTREAM_COLDSTARTDETECTOR_H

#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// Counts consecutive slow answers, and rejections and broken connections
/// within a short window. The functions that return a bool return true when the
/// upstream must be treated as cold, and then reset the detector.
class ColdStartDetector {
public:
  /// Reports an answered order. \p mean is the mean latency of its class
  /// without this order.
  bool answered(core::Duration latency, core::Duration mean);

  /// Reports that the upstream rejected an order within the concurrency limit.
  bool shed(core::TimePoint now);

  /// Reports a connection that failed before the answer was complete.
  bool broken(core::TimePoint now);

  /// Clears all counts.
  void reset();

private:
  /// Counts events in a window that starts with the first event.
  struct Burst {
    std::uint32_t Count = 0;
    core::TimePoint Start{};
    std::uint32_t add(core::TimePoint now);
  };

  std::uint32_t SlowInRow = 0;
  Burst Sheds;
  Burst Disconnects;
};

} // namespace acaciaroad::upstream

#endif
