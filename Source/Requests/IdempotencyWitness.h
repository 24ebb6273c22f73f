/// \file
/// Replicas of the idempotency ids of other owners.

#ifndef ACACIAROAD_REQUESTS_IDEMPOTENCYWITNESS_H
#define ACACIAROAD_REQUESTS_IDEMPOTENCYWITNESS_H

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"
#include "Requests/IdempotencyMessages.h"

namespace acaciaroad::requests {

/// Bounds of an `IdempotencyWitness`.
struct WitnessLimits {
  /// How long an id is kept; at least the window of the registers.
  core::Duration Window = std::chrono::minutes(2);
  std::size_t MaxIds = 393'216;
};

/// Stores the ids that owners replicate to it before they send a request to the
/// upstream. After a handover of a slice to a later epoch it refuses tells of
/// earlier epochs, so that the successor either learns the id of a request or
/// the request is never sent.
class IdempotencyWitness {
public:
  /// Fails with InvalidArgument for a null \p id, a window that is not positive
  /// or `MaxIds` of 0.
  static core::Result<IdempotencyWitness> create(core::InstanceId id,
                                                 WitnessLimits limits);

  /// Stores an id and returns the answer to its owner. Refuses tells of earlier
  /// epochs, and new ids when full.
  IdempotencyAck onTell(const IdempotencyTell &message, core::TimePoint now);

  /// Removes an id whose request has not run.
  void forget(const IdempotencyForget &message);

  /// Returns the ids of a slice for a successor. They are kept, since the
  /// successor may fail before its own witnesses have them.
  IdempotencyHandover handOver(const IdempotencyHandoverAsk &ask,
                               core::TimePoint now);

  /// Returns when the next id expires.
  std::optional<core::TimePoint> nextDeadline() const;

  /// Removes ids whose window has passed.
  void expire(core::TimePoint now);

  std::size_t size() const;

private:
  struct Entry {
    core::SliceId Slice;
    core::Epoch Epoch = 0;
    core::InstanceId Owner;
    IdempotencyId Id;
    std::uint64_t Fingerprint = 0;
    TellSequence Sequence = 0;
    core::TimePoint FirstSeen{};
  };
  using Entries = std::list<Entry>;
  struct SliceState {
    /// Tells of earlier epochs are refused.
    core::Epoch MinEpoch = 0;
    std::unordered_map<IdempotencyId, Entries::iterator> Ids;
  };

  IdempotencyWitness(core::InstanceId id, WitnessLimits limits);
  void add(SliceState &state, const IdempotencyTell &message,
           core::TimePoint now);
  void erase(Entries::iterator it);

  core::InstanceId Id;
  WitnessLimits Limits;
  std::map<core::SliceId, SliceState> Slices;
  /// Ordered by `FirstSeen`.
  Entries ByAge;
};

} // namespace acaciaroad::requests

#endif
