/// \file
/// The bytes of message bodies that a process holds for its clients.

#ifndef ACACIAROAD_NET_BODYMEMORY_H
#define ACACIAROAD_NET_BODYMEMORY_H

#include <cstdint>
#include <memory>
#include <utility>

namespace acaciaroad::net {

/// Counts the bytes that several servers hold. For one thread.
class BodyMemory {
public:
  class Room;

  std::uint64_t held() const { return Held; }

private:
  std::uint64_t Held = 0;
};

/// What one body takes; given back when the room goes.
class BodyMemory::Room {
public:
  Room() = default;
  explicit Room(std::shared_ptr<BodyMemory> memory)
      : Memory(std::move(memory)) {}
  ~Room() { clear(); }
  Room(Room &&other) noexcept
      : Memory(std::move(other.Memory)), Bytes(std::exchange(other.Bytes, 0)) {}
  Room &operator=(Room &&other) noexcept {
    clear();
    Memory = std::move(other.Memory);
    Bytes = std::exchange(other.Bytes, 0);
    return *this;
  }

  std::uint64_t bytes() const { return Bytes; }

  /// Grows to \p bytes unless more than \p most bytes were held then; returns
  /// whether it did; 0 bytes always fit. A body of at most SmallBody bytes may
  /// exceed \p most by a sixteenth, so that large ones leave room for it.
  bool grow(std::uint64_t bytes, std::uint64_t most);

  /// Sets the bytes, whatever else is held.
  void resize(std::uint64_t bytes);

  /// Largest body that counts as small, in bytes.
  static constexpr std::uint64_t SmallBody = 64U << 10U;

private:
  void clear() {
    if (Memory)
      Memory->Held -= std::exchange(Bytes, 0);
  }

  std::shared_ptr<BodyMemory> Memory;
  std::uint64_t Bytes = 0;
};

} // namespace acaciaroad::net

#endif
