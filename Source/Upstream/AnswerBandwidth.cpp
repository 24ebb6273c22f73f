#include "Upstream/AnswerBandwidth.h"

#include <algorithm>

namespace acaciaroad::upstream {

namespace {

/// Part of the network that large answers may fill. The rest is for small
/// messages, the requests of callers and what other nodes send.
constexpr double LargeAnswerShare = 0.8;

/// Mean size from which on answers count as large: 13 ms at 10 Mbit/s.
constexpr double LargeAnswerBytes = 16'384;

/// Weight of the newest answer in the moving average.
constexpr double SizeWeight = 0.1;

} // namespace

bool AnswerBandwidth::isLarge(const ClassState &state) const {
  return BytesPerSecond > 0 && state.MeanBytes >= LargeAnswerBytes;
}

core::Duration AnswerBandwidth::timeFor(double bytes) const {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(bytes /
                                    (BytesPerSecond * LargeAnswerShare)));
}

double AnswerBandwidth::expectedBytes() const {
  double out = 0;
  for (const auto &[name, it] : Classes)
    out += it.MeanBytes * it.Running;
  return out;
}

void AnswerBandwidth::started(std::string_view workClass) {
  const auto it = Classes.find(workClass);
  if (it != Classes.end())
    ++it->second.Running;
  else
    Classes[std::string(workClass)].Running = 1;
}

void AnswerBandwidth::ended(std::string_view workClass, std::uint64_t bytes,
                            core::TimePoint now) {
  const auto it = Classes.find(workClass);
  if (it == Classes.end() || it->second.Running == 0)
    return;
  ClassState &state = it->second;
  --state.Running;
  if (bytes == 0)
    return;
  const auto size = static_cast<double>(bytes);
  state.MeanBytes =
      state.MeanBytes == 0
          ? size
          : state.MeanBytes + (size - state.MeanBytes) * SizeWeight;
  if (BytesPerSecond > 0)
    SentAt = std::max(SentAt, now) + timeFor(size);
}

core::Duration AnswerBandwidth::backlog(std::string_view workClass,
                                        core::TimePoint now) const {
  const auto it = Classes.find(workClass);
  if (it == Classes.end() || !isLarge(it->second))
    return {};
  return std::max(core::Duration{}, SentAt - now) +
         timeFor(expectedBytes() + it->second.MeanBytes);
}

bool AnswerBandwidth::admits(std::string_view workClass,
                             core::TimePoint answered, core::TimePoint target,
                             core::TimePoint now) const {
  const auto it = Classes.find(workClass);
  if (it == Classes.end() || !isLarge(it->second))
    return true;
  return answered + timeFor(it->second.MeanBytes) <= target &&
         now + backlog(workClass, now) <= target;
}

} // namespace acaciaroad::upstream
