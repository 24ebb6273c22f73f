/// \file
/// A chunked copy-on-write array. Published copies share all chunks that have
/// not been modified since.

#ifndef ACACIAROAD_OWNERSHIP_COWARRAY_H
#define ACACIAROAD_OWNERSHIP_COWARRAY_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace acaciaroad::ownership {

/// Copy-on-write array with a single writer. Each chunk stores the generation
/// that created it, so the writer can tell whether a reader may hold the chunk
/// without inspecting reference counts.
template <typename T> class CowArray {
  static constexpr std::size_t ChunkSize = 128;

  struct Chunk {
    std::uint64_t Generation = 0;
    std::array<T, ChunkSize> Items{};
  };

public:
  /// An immutable snapshot; safe to read from any thread.
  class View {
  public:
    View() = default;
    explicit View(std::vector<std::shared_ptr<Chunk>> chunks)
        : Chunks(std::move(chunks)) {}
    const T &operator[](std::size_t n) const {
      return Chunks[n / ChunkSize]->Items[n % ChunkSize];
    }

  private:
    std::vector<std::shared_ptr<Chunk>> Chunks;
  };

  explicit CowArray(std::size_t size) : Count(size) {
    const std::size_t chunks = (size + ChunkSize - 1) / ChunkSize;
    for (std::size_t n = 0; n < chunks; ++n)
      Chunks.push_back(std::make_shared<Chunk>());
  }
  CowArray(const CowArray &) = delete;
  CowArray &operator=(const CowArray &) = delete;
  CowArray(CowArray &&) noexcept = default;
  CowArray &operator=(CowArray &&) noexcept = default;
  ~CowArray() = default;

  std::size_t size() const { return Count; }

  const T &operator[](std::size_t n) const {
    return Chunks[n / ChunkSize]->Items[n % ChunkSize];
  }

  /// Returns item \p n for writing. Copies its chunk first if a view may hold
  /// it.
  T &edit(std::size_t n) {
    auto &chunk = Chunks[n / ChunkSize];
    if (chunk->Generation != Generation) {
      chunk = std::make_shared<Chunk>(*chunk);
      chunk->Generation = Generation;
    }
    return chunk->Items[n % ChunkSize];
  }

  /// Returns a view of the current content.
  View share() {
    ++Generation;
    return View(Chunks);
  }

private:
  std::vector<std::shared_ptr<Chunk>> Chunks;
  std::size_t Count;
  std::uint64_t Generation = 0;
};

} // namespace acaciaroad::ownership

#endif
