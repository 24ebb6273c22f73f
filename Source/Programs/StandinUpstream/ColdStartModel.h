/// \file
/// What an upstream can bear during its cold start.

#ifndef ACACIAROAD_STANDINUPSTREAM_COLDSTARTMODEL_H
#define ACACIAROAD_STANDINUPSTREAM_COLDSTARTMODEL_H

#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::standinupstream {

/// Bears one order at first. What it bears grows to the slots with time and
/// with completed orders, whichever is behind.
class ColdStartModel {
public:
  /// A \p length of zero never is cold.
  ColdStartModel(std::uint32_t slots, core::Duration length,
                 core::TimePoint now);

  /// Turns cold.
  void restart(core::TimePoint now);

  void countCompleted() { ++Completed; }

  /// Returns how many orders can run at once.
  std::uint32_t capacity(core::TimePoint now) const;

  bool isCold(core::TimePoint now) const { return capacity(now) < Slots; }

  /// Returns by what factor work is slower than when warm.
  double slowdown(core::TimePoint now) const;

private:
  std::uint32_t Slots;
  core::Duration Length;
  core::TimePoint Start;
  std::uint64_t Completed = 0;
};

} // namespace acaciaroad::standinupstream

#endif
