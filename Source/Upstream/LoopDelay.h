/// \file
/// How late the traffic loop runs what is due.

#ifndef ACACIAROAD_UPSTREAM_LOOPDELAY_H
#define ACACIAROAD_UPSTREAM_LOOPDELAY_H

#include <array>
#include <cstddef>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// Answers a node that gets its processor late: a busy neighbour or a slow
/// machine lets it serve a part of its requests in time, and those that it
/// can't are refused at once instead of being worked on for nothing.
///
/// A single late turn, as after a pause of the process, is over when it is
/// seen, so that it doesn't count.
class LoopDelay {
public:
  /// Takes a timer that was due at \p due and runs at \p now.
  void timerRan(core::TimePoint due, core::TimePoint now);

  /// Returns the delay that the loop's next turn has to expect: the mean of the
  /// last four timers without the one that was the latest; zero at the start.
  core::Duration expected() const;

private:
  static constexpr std::size_t SampleCount = 4;

  std::array<core::Duration, SampleCount> Samples{};
  std::size_t Next = 0;
};

} // namespace acaciaroad::upstream

#endif
