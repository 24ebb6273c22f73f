#include "Upstream/ColdStartDetector.h"

namespace acaciaroad::upstream {

namespace {

/// An answer is slow if its latency exceeds the mean by more than this factor.
constexpr int SlowFactor = 4;
constexpr std::uint32_t SlowAnswerThreshold = 6;
constexpr std::uint32_t ShedThreshold = 3;
constexpr std::uint32_t DisconnectThreshold = 2;
constexpr core::Duration BurstWindow = std::chrono::seconds(1);

} // namespace

std::uint32_t ColdStartDetector::Burst::add(core::TimePoint now) {
  if (Count == 0 || now - Start > BurstWindow) {
    Count = 0;
    Start = now;
  }
  return ++Count;
}

bool ColdStartDetector::answered(core::Duration latency, core::Duration mean) {
  const bool slow = mean.count() > 0 && latency > mean * SlowFactor;
  SlowInRow = slow ? SlowInRow + 1 : 0;
  if (SlowInRow < SlowAnswerThreshold)
    return false;
  reset();
  return true;
}

bool ColdStartDetector::shed(core::TimePoint now) {
  if (Sheds.add(now) < ShedThreshold)
    return false;
  reset();
  return true;
}

bool ColdStartDetector::broken(core::TimePoint now) {
  if (Disconnects.add(now) < DisconnectThreshold)
    return false;
  reset();
  return true;
}

void ColdStartDetector::reset() { *this = ColdStartDetector(); }

} // namespace acaciaroad::upstream
