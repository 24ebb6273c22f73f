/// \file
/// Detects that a warm upstream has turned cold without an announcement.

#ifndef ACACIAROAD_UPSTREAM_COLDSTARTDETECTOR_H
#define ACACIAROAD_UPSTREAM_COLDSTARTDETECTOR_H

#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// Counts slow answers in a row, and refusals and broken connections within a
/// short window. Every function returns true when the upstream is to be treated
/// as cold, and starts anew then.
class ColdStartDetector {
public:
  /// Adds an answered order, with the mean latency of its class before it.
  bool answered(core::Duration latency, core::Duration mean);

  /// The upstream refused an order though the limit was kept.
  bool shed(core::TimePoint now);

  /// A connection broke before the answer was complete.
  bool broken(core::TimePoint now);

  /// Forgets what was counted.
  void reset();

private:
  /// Events in a window that starts with the first of them.
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
