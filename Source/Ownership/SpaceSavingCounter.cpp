#include "Ownership/SpaceSavingCounter.h"

#include <algorithm>

namespace acaciaroad::ownership {

void SpaceSavingCounter::add(std::uint64_t keyHash, std::uint64_t count) {
  Total += count;
  auto it = Entries.find(keyHash);
  if (it == Entries.end()) {
    Entry entry;
    if (Entries.size() >= Capacity) {
      const auto [leastCount, leastKey] = *Order.begin();
      Order.erase(Order.begin());
      Entries.erase(leastKey);
      entry = {leastCount, leastCount};
    }
    it = Entries.emplace(keyHash, entry).first;
  } else {
    Order.erase({it->second.Count, keyHash});
  }
  it->second.Count += count;
  Order.emplace(it->second.Count, keyHash);
}

void SpaceSavingCounter::decay() {
  Total /= 2;
  Order.clear();
  for (auto it = Entries.begin(); it != Entries.end();) {
    Entry &entry = it->second;
    entry.Count /= 2;
    entry.Error /= 2;
    if (entry.Count == 0) {
      it = Entries.erase(it);
      continue;
    }
    Order.emplace(entry.Count, it->first);
    ++it;
  }
}

std::uint64_t SpaceSavingCounter::countOf(std::uint64_t keyHash) const {
  const auto it = Entries.find(keyHash);
  return it == Entries.end() ? 0 : it->second.Count - it->second.Error;
}

std::vector<KeyCount> SpaceSavingCounter::top(std::uint64_t least) const {
  std::vector<KeyCount> out;
  for (const auto &[key, entry] : Entries)
    if (entry.Count - entry.Error >= least)
      out.push_back({key, entry.Count - entry.Error});
  std::sort(out.begin(), out.end(), [](const KeyCount &a, const KeyCount &b) {
    return std::pair(b.Count, a.KeyHash) < std::pair(a.Count, b.KeyHash);
  });
  return out;
}

} // namespace acaciaroad::ownership
