/// \file
/// Approximate counts of the most frequent keys in bounded memory.

#ifndef ACACIAROAD_OWNERSHIP_SPACESAVINGCOUNTER_H
#define ACACIAROAD_OWNERSHIP_SPACESAVINGCOUNTER_H

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace acaciaroad::ownership {

/// A key and the lower bound of its count.
struct KeyCount {
  std::uint64_t KeyHash = 0;
  std::uint64_t Count = 0;
};

/// The space-saving algorithm of Metwally, Agrawal and El Abbadi (2005): a new
/// key replaces the least frequent one and inherits its count as the error.
class SpaceSavingCounter {
public:
  /// Tracks \p capacity keys, at least one.
  explicit SpaceSavingCounter(std::size_t capacity)
      : Capacity(capacity == 0 ? 1 : capacity) {}

  void add(std::uint64_t keyHash, std::uint64_t count);

  /// Halves all counts, so that old requests lose weight.
  void decay();

  /// Returns the lower bound of the count of \p keyHash.
  std::uint64_t countOf(std::uint64_t keyHash) const;

  std::uint64_t total() const { return Total; }

  /// Returns the keys with a lower bound of at least \p least, in descending
  /// order.
  std::vector<KeyCount> top(std::uint64_t least) const;

private:
  struct Entry {
    std::uint64_t Count = 0;
    std::uint64_t Error = 0;
  };

  std::size_t Capacity;
  std::uint64_t Total = 0;
  std::unordered_map<std::uint64_t, Entry> Entries;
  /// Count and key, in ascending order.
  std::set<std::pair<std::uint64_t, std::uint64_t>> Order;
};

} // namespace acaciaroad::ownership

#endif
