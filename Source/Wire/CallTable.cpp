#include "Wire/CallTable.h"

namespace acaciaroad::wire {

bool CallTable::add(const CallKey &key,
                    const std::shared_ptr<ForwardCall> &call) {
  const std::lock_guard lock(Mutex);
  if (Calls.size() >= Limit)
    return false;
  return Calls.emplace(key, call).second;
}

std::shared_ptr<ForwardCall> CallTable::find(const CallKey &key) const {
  const std::lock_guard lock(Mutex);
  const auto it = Calls.find(key);
  return it == Calls.end() ? nullptr : it->second.lock();
}

void CallTable::remove(const CallKey &key) {
  const std::lock_guard lock(Mutex);
  Calls.erase(key);
}

std::vector<std::shared_ptr<ForwardCall>>
CallTable::withPeer(std::string_view address) const {
  // Locked calls outlive the lock: the end of a call takes the lock again.
  std::vector<std::shared_ptr<ForwardCall>> live;
  {
    const std::lock_guard lock(Mutex);
    for (const auto &it : Calls)
      if (auto call = it.second.lock())
        live.push_back(std::move(call));
  }
  std::erase_if(live,
                [&](const auto &it) { return it->peerAddress() != address; });
  return live;
}

std::size_t CallTable::size() const {
  const std::lock_guard lock(Mutex);
  return Calls.size();
}

} // namespace acaciaroad::wire
