/// \file
/// The ids that one instance keeps for the owners that it witnesses.

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

/// Bounds of a witness.
struct WitnessLimits {
  /// At least the window of the registers.
  core::Duration Window = std::chrono::minutes(2);
  std::size_t MaxIds = 393'216;
};

/// Keeps the ids that owners tell before they send an order. Once it has handed
/// a slice over to a later epoch, it keeps nothing of earlier epochs any more,
/// so an order either is known to the successor or is never sent.
class IdempotencyWitness {
public:
  /// Fails with InvalidArgument for a null id or an empty bound.
  static core::Result<IdempotencyWitness> create(core::InstanceId id,
                                                 WitnessLimits limits);

  /// Answers a tell.
  IdempotencyAck onTell(const IdempotencyTell &message, core::TimePoint now);

  /// Drops an id whose order has not run.
  void forget(const IdempotencyForget &message);

  /// Hands the ids of a slice to a successor. The ids stay, since the successor
  /// may be lost before its own witnesses know them.
  IdempotencyHandover handOver(const IdempotencyHandoverAsk &ask,
                               core::TimePoint now);

  /// Returns when `expire` has something to do next.
  std::optional<core::TimePoint> nextDeadline() const;

  /// Forgets ids whose window has passed.
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
  /// In order of first sight.
  Entries ByAge;
};

} // namespace acaciaroad::requests

#endif
