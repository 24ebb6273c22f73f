/// \file
/// Messages by which the owner of a slice and its witnesses keep the ids of
/// requests that may run at most once.

#ifndef ACACIAROAD_REQUESTS_IDEMPOTENCYMESSAGES_H
#define ACACIAROAD_REQUESTS_IDEMPOTENCYMESSAGES_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"

namespace acaciaroad::requests {

/// Names an at-most-once request: the hash of its account and its
/// Idempotency-Key.
struct IdempotencyId {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  // clang-tidy 14 takes the 0 in rewritten comparisons for a pointer.
  auto operator<=>(const IdempotencyId &) const = default; // NOLINT

  static IdempotencyId of(std::string_view account, std::string_view key);
};

/// Counts the tells of one owner, so that a late message about an earlier use
/// of an id does not touch a later one.
using TellSequence = std::uint64_t;

/// The owner tells a witness of an id before it sends the order.
struct IdempotencyTell {
  core::InstanceId Owner;
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  IdempotencyId Id;
  /// Hash of the request, to detect an id that was used for another one.
  std::uint64_t Fingerprint = 0;
  TellSequence Sequence = 0;
  /// Time since the id was first seen.
  core::Duration Age{};
  bool operator==(const IdempotencyTell &) const = default;
};

/// The witness's answer to one tell.
struct IdempotencyAck {
  core::InstanceId Witness;
  IdempotencyId Id;
  TellSequence Sequence = 0;
  /// False if the witness has seen a later owner or has no room.
  bool IsKept = false;
  bool operator==(const IdempotencyAck &) const = default;
};

/// The order of this tell has not run; the id may be used again.
struct IdempotencyForget {
  core::InstanceId Owner;
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  IdempotencyId Id;
  TellSequence Sequence = 0;
  bool operator==(const IdempotencyForget &) const = default;
};

/// A new owner asks a witness of a former one for the ids of a slice.
struct IdempotencyHandoverAsk {
  core::InstanceId Successor;
  core::SliceId Slice;
  /// The successor's epoch; the witness keeps nothing of an earlier one after
  /// this.
  core::Epoch Epoch = 0;
  bool operator==(const IdempotencyHandoverAsk &) const = default;
};

/// An id that a former owner may have run.
struct HandedId {
  IdempotencyId Id;
  std::uint64_t Fingerprint = 0;
  core::Duration Age{};
  /// Whether the order is known to have run; only an owner knows.
  bool IsDone = false;
  /// The stored answer of a done order; empty if there is none.
  std::string Answer;
  bool operator==(const HandedId &) const = default;
};

/// The ids of one slice, from a witness or from the former owner itself.
struct IdempotencyHandover {
  core::InstanceId From;
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  std::vector<HandedId> Ids;
  bool operator==(const IdempotencyHandover &) const = default;
};

} // namespace acaciaroad::requests

template <> struct std::hash<acaciaroad::requests::IdempotencyId> {
  std::size_t
  operator()(const acaciaroad::requests::IdempotencyId &id) const noexcept {
    return static_cast<std::size_t>(id.Low);
  }
};

#endif
