#include "Programs/StandinUpstream/ColdStartModel.h"

#include <algorithm>

namespace acaciaroad::standinupstream {

namespace {

/// Completed orders for each further order that can run at once.
constexpr std::uint64_t CompletedPerSlot = 2;

} // namespace

ColdStartModel::ColdStartModel(std::uint32_t slots, core::Duration length,
                               core::TimePoint now)
    : Slots(slots), Length(length), Start(now) {}

void ColdStartModel::restart(core::TimePoint now) {
  Start = now;
  Completed = 0;
}

std::uint32_t ColdStartModel::capacity(core::TimePoint now) const {
  if (Length <= core::Duration::zero())
    return Slots;
  const std::uint64_t most = Slots - 1;
  const auto elapsed = std::clamp(now - Start, core::Duration::zero(), Length);
  const auto byTime = static_cast<std::uint64_t>(
      static_cast<double>(most) * static_cast<double>(elapsed.count()) /
      static_cast<double>(Length.count()));
  const std::uint64_t byWork = Completed / CompletedPerSlot;
  return static_cast<std::uint32_t>(1 + std::min({most, byTime, byWork}));
}

double ColdStartModel::slowdown(core::TimePoint now) const {
  return static_cast<double>(Slots) / static_cast<double>(capacity(now));
}

} // namespace acaciaroad::standinupstream
