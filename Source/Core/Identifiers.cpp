#include "Core/Identifiers.h"

#include <random>

#include <fmt/format.h>
#include <xxhash.h>

namespace acaciaroad::core {

std::string toString(InstanceId id) { return fmt::format("{:016x}", id.Value); }

std::string toString(const SliceId &slice) {
  return fmt::format("{}/{}", slice.Service, slice.Index);
}

std::uint64_t hashOf(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

SliceIndex sliceOf(std::string_view key, std::uint32_t sliceCount) {
  return static_cast<SliceIndex>(hashOf(key) % sliceCount);
}

std::uint64_t randomId() {
  std::random_device device;
  std::uint64_t id = 0;
  while (id == 0)
    id = (std::uint64_t{device()} << 32U) | device();
  return id;
}

} // namespace acaciaroad::core
