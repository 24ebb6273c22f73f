#include "Requests/IdempotencyMessages.h"

namespace acaciaroad::requests {

namespace {

/// Makes the second hash independent of the first.
constexpr std::uint64_t SecondSeed = 1;

} // namespace

IdempotencyId IdempotencyId::of(std::string_view account,
                                std::string_view key) {
  // The hash of the account seeds that of the key, so that ("a", "bc") and
  // ("ab", "c") differ.
  return {core::hashOf(key, core::hashOf(account)),
          core::hashOf(key, core::hashOf(account, SecondSeed))};
}

} // namespace acaciaroad::requests
