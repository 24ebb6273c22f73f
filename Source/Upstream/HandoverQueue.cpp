#include "Upstream/HandoverQueue.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace acaciaroad::upstream {

namespace {

/// Two heartbeats and the round trips of the log; the keys of a node that is
/// lost come back only after its lease.
constexpr core::Duration MaxWait = std::chrono::milliseconds(2000);

/// Above what an upstream can serve once it holds the keys.
constexpr std::size_t MaxWaiting = 256;

} // namespace

bool HandoverQueue::add(Ticket id, std::uint32_t key, core::TimePoint until,
                        core::TimePoint now) {
  if (until <= now || Waiting.size() >= MaxWaiting)
    return false;
  Waiting.emplace(id, Entry{key, std::min(until, now + MaxWait)});
  return true;
}

std::vector<Ticket> HandoverQueue::takeAll() {
  std::vector<Ticket> out;
  for (const auto &[id, entry] : std::exchange(Waiting, {}))
    out.push_back(id);
  return out;
}

std::vector<HandoverQueue::ResolvedOrder> HandoverQueue::takeResolved(
    const std::function<KeyOwnership(std::uint32_t)> &ownershipOf,
    core::TimePoint now) {
  std::vector<ResolvedOrder> out;
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    const KeyOwnership ownership = ownershipOf(it->second.Key);
    if (ownership == KeyOwnership::InHandover && now < it->second.WaitUntil) {
      ++it;
      continue;
    }
    out.push_back({it->first, ownership});
    it = Waiting.erase(it);
  }
  return out;
}

} // namespace acaciaroad::upstream
