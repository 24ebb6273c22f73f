#include "Requests/IdempotencyMessages.h"

namespace acaciaroad::requests {

namespace {

/// Makes the second hash independent of the first.
constexpr std::uint64_t SecondSeed = 1;

} // namespace

IdempotencyId IdempotencyId::of(std::string_view account,
                                std::string_view key) {
  // The account seeds the key's hash, so their boundary is unambiguous.
  return {core::hashOf(key, core::hashOf(account)),
          core::hashOf(key, core::hashOf(account, SecondSeed))};
}

} // namespace acaciaroad::requests
