#include "Upstream/HandoverQueue.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace acaciaroad::upstream {

namespace {

/// Two heartbeat intervals plus the round trips to the log. The keys of a lost
/// node become available only when its lease expires, which isn't waited for.
constexpr core::Duration MaxWait = std::chrono::milliseconds(2000);

/// More than an upstream can serve when it has received the keys.
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
