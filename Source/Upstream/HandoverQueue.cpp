#include "Upstream/HandoverQueue.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace acaciaroad::upstream {

namespace {

/// Two heartbeats and the round trips of the log; the keys of a node that is
/// lost come back only after its lease.
constexpr core::Duration LongestWait = std::chrono::milliseconds(2000);

/// Above what an upstream can serve once it holds the keys.
constexpr std::size_t MostWaiting = 256;

} // namespace

bool HandoverQueue::add(Ticket id, std::uint32_t key, core::TimePoint until,
                        core::TimePoint now) {
  if (until <= now || Waiting.size() >= MostWaiting)
    return false;
  Waiting.emplace(id, Entry{key, std::min(until, now + LongestWait)});
  return true;
}

std::vector<Ticket> HandoverQueue::takeAll() {
  std::vector<Ticket> out;
  for (const auto &[id, entry] : std::exchange(Waiting, {}))
    out.push_back(id);
  return out;
}

std::vector<HandoverQueue::Settled> HandoverQueue::settle(
    const std::function<KeyStanding(std::uint32_t)> &standingOf,
    core::TimePoint now) {
  std::vector<Settled> out;
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    const KeyStanding standing = standingOf(it->second.Key);
    if (standing == KeyStanding::Awaited && now < it->second.Until) {
      ++it;
      continue;
    }
    out.push_back({it->first, standing});
    it = Waiting.erase(it);
  }
  return out;
}

} // namespace acaciaroad::upstream
