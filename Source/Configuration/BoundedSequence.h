/// \file
/// A bounded FIFO sequence with structural sharing between copies.

#ifndef ACACIAROAD_CONFIGURATION_BOUNDEDSEQUENCE_H
#define ACACIAROAD_CONFIGURATION_BOUNDEDSEQUENCE_H

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace acaciaroad::configuration {

/// Keeps the last \p Capacity elements. A copy shares all chunks of elements
/// with its original; an append copies only the newest chunk.
template <typename T, std::size_t Capacity> class BoundedSequence {
public:
  /// Appends \p value. Returns the oldest element if it was removed to stay
  /// within the capacity.
  std::optional<T> push(T value) {
    if (Chunks.empty() || Chunks.back()->size() == ChunkSize)
      Chunks.push_back(std::make_shared<const Chunk>());
    auto chunk = std::make_shared<Chunk>(*Chunks.back());
    chunk->push_back(std::move(value));
    Chunks.back() = std::move(chunk);
    if (++Count <= Capacity)
      return std::nullopt;
    return popFront();
  }

  std::size_t size() const { return Count; }

  /// Calls \p visit for each element, oldest first.
  void forEach(const std::function<void(const T &)> &visit) const {
    std::size_t skip = Dropped;
    for (const auto &chunk : Chunks) {
      for (const T &it : *chunk) {
        if (skip == 0)
          visit(it);
        else
          --skip;
      }
    }
  }

private:
  static constexpr std::size_t ChunkSize = 64;
  using Chunk = std::vector<T>;

  T popFront() {
    T oldest = (*Chunks.front())[Dropped];
    ++Dropped;
    --Count;
    if (Dropped == ChunkSize) {
      Chunks.erase(Chunks.begin());
      Dropped = 0;
    }
    return oldest;
  }

  std::vector<std::shared_ptr<const Chunk>> Chunks;
  /// Removed elements at the start of the first chunk.
  std::size_t Dropped = 0;
  std::size_t Count = 0;
};

} // namespace acaciaroad::configuration

#endif
