/// \file
/// Past load, for reports that lag.

#ifndef ACACIAROAD_STANDINUPSTREAM_LOADHISTORY_H
#define ACACIAROAD_STANDINUPSTREAM_LOADHISTORY_H

#include <cstdint>
#include <deque>
#include <mutex>

#include "Core/Clock.h"

namespace acaciaroad::standinupstream {

/// Load at one moment.
struct LoadSample {
  core::TimePoint Time{};
  std::uint32_t InFlight = 0;
  std::uint32_t Queue = 0;
};

/// Keeps the latest samples. All members may be called from any thread.
class LoadHistory {
public:
  void add(const LoadSample &sample);

  /// Returns the newest sample that is not newer than \p time; idle if there
  /// is none.
  LoadSample at(core::TimePoint time) const;

private:
  mutable std::mutex Mutex;
  std::deque<LoadSample> Samples;
};

} // namespace acaciaroad::standinupstream

#endif
