#include "Programs/Load/Runner.h"

#include <algorithm>
#include <utility>

namespace acaciaroad::load {

namespace {

/// Between the start of the threads and the first request.
constexpr auto StartDelay = std::chrono::milliseconds(200);
/// Targets that a request tries beyond its first one.
constexpr std::uint32_t MaxFailovers = 2;

} // namespace

RunResult Runner::run() {
  const core::TimePoint start = core::BootClock::now() + StartDelay;
  for (std::size_t n = 0; n < Plan.Targets.size(); ++n)
    Lanes.push_back(std::make_unique<Lane>(
        Plan, n, start, [this](const Sample &it) { onEnd(it); }, OnAnswer));
  ActionThread actions(Plan, start);
  sendAll(start);
  RunResult out;
  out.Actions = actions.stop();
  Lanes.clear();
  out.Samples = std::move(Samples);
  std::sort(out.Samples.begin(), out.Samples.end(),
            [](const Sample &a, const Sample &b) {
              return a.Request.Number < b.Request.Number;
            });
  return out;
}

void Runner::sendAll(core::TimePoint start) {
  Schedule schedule(Plan);
  std::size_t sent = 0;
  std::unique_lock lock(Mutex);
  while (const auto shot = schedule.next()) {
    // Nothing notifies; the wait is one sleep to an absolute time.
    Finished.wait_until(lock, start + shot->Time, [] { return false; });
    lock.unlock();
    Lanes[shot->Target]->submit(*shot);
    ++sent;
    lock.lock();
  }
  // Actions may be due after the last request.
  Finished.wait_until(lock, start + Plan.Length, [] { return false; });
  Finished.wait(lock, [&] { return Samples.size() == sent; });
}

void Runner::onEnd(const Sample &sample) {
  if (sample.End.Result == Outcome::Unreachable && failOver(sample))
    return;
  const std::lock_guard lock(Mutex);
  Samples.push_back(sample);
  Finished.notify_one();
}

bool Runner::failOver(const Sample &sample) {
  Shot shot = sample.Request;
  if (shot.Failovers >= MaxFailovers || Lanes.size() == 1)
    return false;
  ++shot.Failovers;
  shot.Target = (shot.Target + 1) % Lanes.size();
  Lanes[shot.Target]->submit(shot);
  return true;
}

} // namespace acaciaroad::load
