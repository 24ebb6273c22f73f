/// \file
/// A persistent map from names to values with structural sharing.

#ifndef ACACIAROAD_CONFIGURATION_PERSISTENTMAP_H
#define ACACIAROAD_CONFIGURATION_PERSISTENTMAP_H

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Core/Identifiers.h"

namespace acaciaroad::configuration {

/// A hash trie of two levels. Copying a map increments up to `Fanout` reference
/// counts. Changing a copy replaces one branch and one leaf and leaves the
/// original unchanged. A pointer to a value is valid as long as any copy of the
/// map holds that value.
template <typename T> class PersistentMap {
public:
  using Visitor = std::function<void(std::string_view, const T &)>;

  /// Returns the value of \p name, or null if absent.
  const T *find(std::string_view name) const {
    const Leaf *leaf = leafOf(positionOf(name));
    if (!leaf)
      return nullptr;
    auto it = lowerBound(*leaf, name);
    if (it == leaf->end() || it->Name != name)
      return nullptr;
    return it->Value.get();
  }

  /// Creates or replaces the value of \p name.
  void set(std::string_view name, T value) {
    const Position position = positionOf(name);
    Leaf leaf = copyOfLeaf(position);
    auto it = lowerBound(leaf, name);
    auto shared = std::make_shared<const T>(std::move(value));
    if (it != leaf.end() && it->Name == name) {
      it->Value = std::move(shared);
    } else {
      leaf.insert(it, Entry{std::string(name), std::move(shared)});
      ++Count;
    }
    replaceLeaf(position, std::move(leaf));
  }

  /// Removes \p name if present.
  void erase(std::string_view name) {
    if (!find(name))
      return;
    const Position position = positionOf(name);
    Leaf leaf = copyOfLeaf(position);
    leaf.erase(lowerBound(leaf, name));
    --Count;
    replaceLeaf(position, std::move(leaf));
  }

  /// Calls \p visit for each entry. The order depends only on the names.
  void forEach(const Visitor &visit) const {
    for (const auto &branch : Root) {
      if (!branch)
        continue;
      for (const auto &leaf : *branch)
        visitLeaf(leaf.get(), visit);
    }
  }

  std::size_t size() const { return Count; }

private:
  static constexpr std::size_t Fanout = 64;

  struct Entry {
    std::string Name;
    std::shared_ptr<const T> Value;
  };
  using Leaf = std::vector<Entry>;
  using Branch = std::array<std::shared_ptr<const Leaf>, Fanout>;

  struct Position {
    std::size_t Upper;
    std::size_t Lower;
  };

  static Position positionOf(std::string_view name) {
    const std::uint64_t hash = core::hashOf(name);
    return {hash % Fanout, hash / Fanout % Fanout};
  }

  template <typename L> static auto lowerBound(L &leaf, std::string_view name) {
    return std::lower_bound(
        leaf.begin(), leaf.end(), name,
        [](const Entry &entry, std::string_view n) { return entry.Name < n; });
  }

  static void visitLeaf(const Leaf *leaf, const Visitor &visit) {
    if (!leaf)
      return;
    for (const Entry &entry : *leaf)
      visit(entry.Name, *entry.Value);
  }

  const Leaf *leafOf(Position position) const {
    const auto &branch = Root[position.Upper];
    return branch ? (*branch)[position.Lower].get() : nullptr;
  }

  Leaf copyOfLeaf(Position position) const {
    const Leaf *leaf = leafOf(position);
    return leaf ? *leaf : Leaf{};
  }

  void replaceLeaf(Position position, Leaf leaf) {
    const auto &old = Root[position.Upper];
    auto branch = std::make_shared<Branch>(old ? *old : Branch{});
    (*branch)[position.Lower] = std::make_shared<const Leaf>(std::move(leaf));
    Root[position.Upper] = std::move(branch);
  }

  std::array<std::shared_ptr<const Branch>, Fanout> Root;
  std::size_t Count = 0;
};

} // namespace acaciaroad::configuration

#endif
