#include "Net/BodyMemory.h"

namespace acaciaroad::net {

namespace {

/// Part of the bound that only small bodies may take in addition.
constexpr std::uint64_t SmallShare = 16;

} // namespace

bool BodyMemory::Room::grow(std::uint64_t bytes, std::uint64_t most) {
  if (bytes == 0)
    return true;
  const std::uint64_t bound =
      bytes <= SmallBody ? most + most / SmallShare : most;
  const std::uint64_t others = Memory->Held - Bytes;
  if (bytes > bound || others > bound - bytes)
    return false;
  resize(bytes);
  return true;
}

void BodyMemory::Room::resize(std::uint64_t bytes) {
  Memory->Held = Memory->Held - Bytes + bytes;
  Bytes = bytes;
}

} // namespace acaciaroad::net
