#include "Upstream/TransferGate.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace acaciaroad::upstream {

namespace {

using std::chrono::milliseconds;

/// Assumed at least: the narrowest networks that nodes have, 10 Mbit/s.
constexpr double LeastRate = 1.25e6;

/// Time constant with which a rate that was seen loses weight.
constexpr double PeakSeconds = 10;

/// Bodies under way may take so long together: small messages wait behind them.
constexpr core::Duration RunningLength = milliseconds(80);

/// Bodies that wait may take so long more; callers expect answers within less
/// than a second.
constexpr core::Duration WaitingLength = milliseconds(100);

/// A body that was let in and hasn't come by then is not waited for.
constexpr core::Duration Patience = milliseconds(1500);

} // namespace

double TransferGate::rate(core::TimePoint now) const {
  const std::chrono::duration<double> age = now - PeakAt;
  return std::max(LeastRate, Peak * std::exp(-age.count() / PeakSeconds));
}

std::uint64_t TransferGate::roomFor(core::Duration length,
                                    core::TimePoint now) const {
  const std::chrono::duration<double> seconds = length;
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

Verdict TransferGate::ask(Ticket id, std::uint64_t bytes, core::TimePoint now) {
  expire(now);
  const bool isFree =
      Running.empty() || runningBytes() + bytes <= roomFor(RunningLength, now);
  if (Waiting.empty() && isFree) {
    start({id, bytes}, now);
    return Verdict::Start;
  }
  if (waitingBytes() + bytes > roomFor(WaitingLength, now))
    return Verdict::Refused;
  Waiting.push_back({id, bytes});
  return Verdict::Queued;
}

void TransferGate::finished(Ticket id, core::TimePoint now) {
  const auto it = Running.find(id);
  if (it == Running.end())
    return;
  const std::chrono::duration<double> taken = now - it->second.Since;
  const double seen =
      static_cast<double>(it->second.Together) / std::max(1e-3, taken.count());
  if (seen > rate(now)) {
    Peak = seen;
    PeakAt = now;
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
        runningBytes() + entry.Bytes > roomFor(RunningLength, now))
      break;
    Waiting.pop_front();
    start(entry, now);
    out.push_back(entry.Id);
  }
  return out;
}

void TransferGate::expire(core::TimePoint now) {
  std::erase_if(Running, [&](const auto &it) {
    return now - it.second.Since >= Patience;
  });
}

} // namespace acaciaroad::upstream
