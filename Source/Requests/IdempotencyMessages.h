/// \file
/// Messages with which the owner of a slice replicates the ids of at-most-once
/// requests to its witnesses and hands them over to the next owner.

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

/// Identifies an at-most-once request: the hash of its account and its
/// idempotency key.
struct IdempotencyId {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  // clang-tidy 14 mistakes the 0 in rewritten comparisons for a null pointer.
  auto operator<=>(const IdempotencyId &) const = default; // NOLINT

  static IdempotencyId of(std::string_view account, std::string_view key);
};

/// Sequence number of an owner's tells. A delayed message about an earlier use
/// of an id has a lower number and does not affect a later use.
using TellSequence = std::uint64_t;

/// Replicates an id from the owner to a witness, before the request is sent to
/// the upstream.
struct IdempotencyTell {
  core::InstanceId Owner;
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  IdempotencyId Id;
  /// Hash of the request, to detect that its id was reused for another one.
  std::uint64_t Fingerprint = 0;
  TellSequence Sequence = 0;
  /// Time since the id was first seen.
  core::Duration Age{};
  bool operator==(const IdempotencyTell &) const = default;
};

/// A witness's answer to one tell.
struct IdempotencyAck {
  core::InstanceId Witness;
  IdempotencyId Id;
  TellSequence Sequence = 0;
  /// False if the witness has handed the slice over to a later epoch, or is
  /// full.
  bool IsKept = false;
  bool operator==(const IdempotencyAck &) const = default;
};

/// Removes an id from a witness: its request has not run, so the id may be used
/// again.
struct IdempotencyForget {
  core::InstanceId Owner;
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  IdempotencyId Id;
  TellSequence Sequence = 0;
  bool operator==(const IdempotencyForget &) const = default;
};

/// A new owner's request to a witness of a former owner for the ids of a slice.
struct IdempotencyHandoverAsk {
  core::InstanceId Successor;
  core::SliceId Slice;
  /// The successor's epoch; the witness refuses tells of earlier epochs from
  /// now on.
  core::Epoch Epoch = 0;
  bool operator==(const IdempotencyHandoverAsk &) const = default;
};

/// An id whose request a former owner may have run.
struct HandedId {
  IdempotencyId Id;
  std::uint64_t Fingerprint = 0;
  core::Duration Age{};
  /// The request is known to have run; only an owner knows this.
  bool IsDone = false;
  /// The stored answer of a request that has run; empty if there is none.
  std::string Answer;
  bool operator==(const HandedId &) const = default;
};

/// The ids of one slice, sent by a witness or by the former owner itself.
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
