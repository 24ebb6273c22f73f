/// \file
/// Identifiers shared by all aggregates, and the hash that divides keys.

#ifndef ACACIAROAD_CORE_IDENTIFIERS_H
#define ACACIAROAD_CORE_IDENTIFIERS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace acaciaroad::core {

/// One incarnation of a node: random, new at each start, never reused. 0 means
/// none.
struct InstanceId {
  std::uint64_t Value = 0;
  // clang-tidy 14 takes the 0 in rewritten comparisons for a pointer.
  auto operator<=>(const InstanceId &) const = default; // NOLINT
  explicit operator bool() const { return Value != 0; }
};

/// Position of a record in the platform's log.
using Offset = std::uint64_t;

/// Number of times that the log was restored from an older copy of itself.
/// Offsets of one era don't hold in another.
using LogEra = std::uint64_t;

/// Counts the owners that a slice has had.
using Epoch = std::uint64_t;

/// Number of a slice within its service, in [0, slice count of the service).
using SliceIndex = std::uint32_t;

/// One slice of the keys of one service.
struct SliceId {
  std::string Service;
  SliceIndex Index = 0;
  // clang-tidy 14 takes the 0 in rewritten comparisons for a pointer.
  auto operator<=>(const SliceId &) const = default; // NOLINT
};

/// Returns 16 hexadecimal digits.
std::string toString(InstanceId id);

/// Returns "service/index".
std::string toString(const SliceId &slice);

/// Returns the 64-bit xxHash of \p bytes; the same on every instance.
std::uint64_t hashOf(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the slice of \p key in a service of \p sliceCount slices.
SliceIndex sliceOf(std::string_view key, std::uint32_t sliceCount);

/// Returns a random non-zero 64-bit number from the operating system.
std::uint64_t randomId();

} // namespace acaciaroad::core

template <> struct std::hash<acaciaroad::core::InstanceId> {
  std::size_t operator()(acaciaroad::core::InstanceId id) const noexcept {
    return static_cast<std::size_t>(id.Value);
  }
};

#endif
