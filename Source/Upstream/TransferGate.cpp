#include "Upstream/TransferGate.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace acaciaroad::upstream {

namespace {

using std::chrono::milliseconds;

/// Lower bound of the estimated rate, in bytes per second: 10 Mbit/s, the
/// slowest network that nodes have.
constexpr double MinRate = 1.25e6;

/// Time constant of the exponential decay of the peak rate.
constexpr double PeakRateDecaySeconds = 10;

/// Maximum time for all bodies in progress together, because small messages
/// wait behind them.
constexpr core::Duration MaxRunningTime = milliseconds(80);

/// Maximum additional time for all waiting bodies together, because callers
/// expect answers within less than a second.
constexpr core::Duration MaxWaitingTime = milliseconds(100);

/// After this time a started body no longer counts as in progress.
constexpr core::Duration TransferTimeout = milliseconds(1500);

} // namespace

double TransferGate::rate(core::TimePoint now) const {
  const std::chrono::duration<double> age = now - PeakRateAt;
  return std::max(MinRate,
                  PeakRate * std::exp(-age.count() / PeakRateDecaySeconds));
}

std::uint64_t TransferGate::capacityFor(core::Duration time,
                                        core::TimePoint now) const {
  const std::chrono::duration<double> seconds = time;
  return static_cast<std::uint64_t>(rate(now) * seconds.count());
}

void TransferGate::start(const Entry &entry, core::TimePoint now) {
  Running[entry.Id] = {entry.Bytes, runningBytes() + entry.Bytes, now};
}

std::uint64_t TransferGate::runningBytes() const {
  return std::accumulate(
      Running.begin(), Running.end(), std::uint64_t{0},
      [](std::uint64_t sum, const auto &it) { return sum + it.second.Bytes; });
}

std::uint64_t TransferGate::waitingBytes() const {
  return std::accumulate(
      Waiting.begin(), Waiting.end(), std::uint64_t{0},
      [](std::uint64_t sum, const Entry &it) { return sum + it.Bytes; });
}

AdmissionStatus TransferGate::ask(Ticket id, std::uint64_t bytes,
                                  core::TimePoint now) {
  expire(now);
  const bool hasCapacity =
      Running.empty() ||
      runningBytes() + bytes <= capacityFor(MaxRunningTime, now);
  if (Waiting.empty() && hasCapacity) {
    start({id, bytes}, now);
    return AdmissionStatus::Start;
  }
  if (waitingBytes() + bytes > capacityFor(MaxWaitingTime, now))
    return AdmissionStatus::Refused;
  Waiting.push_back({id, bytes});
  return AdmissionStatus::Queued;
}

void TransferGate::finished(Ticket id, core::TimePoint now) {
  const auto it = Running.find(id);
  if (it == Running.end())
    return;
  const std::chrono::duration<double> elapsed = now - it->second.StartedAt;
  const double observedRate = static_cast<double>(it->second.BytesInFlight) /
                              std::max(1e-3, elapsed.count());
  if (observedRate > rate(now)) {
    PeakRate = observedRate;
    PeakRateAt = now;
  }
  Running.erase(it);
}

void TransferGate::cancel(Ticket id) {
  Running.erase(id);
  std::erase_if(Waiting, [&](const Entry &it) { return it.Id == id; });
}

std::vector<Ticket> TransferGate::advance(core::TimePoint now) {
  expire(now);
  std::vector<Ticket> out;
  while (!Waiting.empty()) {
    const Entry entry = Waiting.front();
    if (!Running.empty() &&
        runningBytes() + entry.Bytes > capacityFor(MaxRunningTime, now))
      break;
    Waiting.pop_front();
    start(entry, now);
    out.push_back(entry.Id);
  }
  return out;
}

void TransferGate::expire(core::TimePoint now) {
  std::erase_if(Running, [&](const auto &it) {
    return now - it.second.StartedAt >= TransferTimeout;
  });
}

} // namespace acaciaroad::upstream
