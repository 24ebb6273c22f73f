/// \file
/// The at-most-once requests that one owner has accepted.

#ifndef ACACIAROAD_REQUESTS_IDEMPOTENCYREGISTER_H
#define ACACIAROAD_REQUESTS_IDEMPOTENCYREGISTER_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"
#include "Requests/IdempotencyMessages.h"
#include "Requests/WitnessQuorum.h"

namespace acaciaroad::requests {

/// Bounds of a register.
struct RegisterLimits {
  /// An id is kept for this time after it was first seen.
  core::Duration Window = std::chrono::minutes(2);
  std::size_t MaxIds = 131'072;
  /// Sum over all stored answers.
  std::size_t MaxTotalAnswerBytes = std::size_t{16} << 20U;
  /// A larger answer is not stored.
  std::size_t MaxBytesPerAnswer = 4096;
};

/// An at-most-once request at its owner.
struct IdempotentRequest {
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  IdempotencyId Id;
  std::uint64_t Fingerprint = 0;
};

enum class BeginVerdict : std::uint8_t {
  /// The witnesses are to be told; the order waits for their majority.
  AwaitWitnesses,
  /// There are no witnesses; the order may be sent.
  Send,
  /// The id has run; the caller gets the stored answer.
  Replay,
  Refused,
};

/// What becomes of an at-most-once request.
struct BeginDecision {
  BeginVerdict Verdict = BeginVerdict::Refused;
  /// The message to all witnesses, for AwaitWitnesses.
  IdempotencyTell Message;
  /// The stored answer, for Replay; valid until the next call.
  std::string_view Answer;
  /// For Refused: DuplicateRequest, IdempotencyKeyReused, OutcomeUnknown or
  /// RegisterFull.
  core::ErrorKind Error = core::ErrorKind::RegisterFull;
};

/// Keeps each id from its first sight until the window has passed. An id whose
/// order was sent leaves only by the end of the window, or because the upstream
/// said that it has not run; a full register refuses new ids instead.
class IdempotencyRegister {
public:
  /// Fails with InvalidArgument for a null owner or an empty bound.
  static core::Result<IdempotencyRegister> create(core::InstanceId owner,
                                                  RegisterLimits limits);

  /// Sets the witnesses of orders from now on. Before the owner relies on new
  /// witnesses alone, they must have been told everything in `replicateSlice`.
  void setWitnesses(WitnessSets witnesses);

  /// Decides on a request. The first one with an id receives AwaitWitnesses.
  BeginDecision begin(const IdempotentRequest &request, core::TimePoint now);

  /// Adds a witness's answer. Returns Reached once, when the order may be sent;
  /// Impossible when it may not, after which the caller calls `removeNotRun`.
  QuorumState onAck(const IdempotencyAck &ack);

  /// The order ran and this is its answer.
  void markCompleted(IdempotencyId id, std::string_view answer);

  /// The order was sent and its outcome is not known.
  void markOutcomeUnknown(IdempotencyId id);

  /// The order was not sent, or the upstream said that it has not run. Returns
  /// the message to all witnesses; nothing for an id that may have run.
  std::optional<IdempotencyForget> removeNotRun(IdempotencyId id);

  /// Takes over the ids of a slice from a witness or the former owner. Fails
  /// with RegisterFull, after which the owner must not start the slice.
  core::Result<void> importIds(const IdempotencyHandover &handover,
                               core::TimePoint now);

  /// Returns tells for all ids of a slice, for witnesses that know none yet:
  /// new ones, and those of a successor before it starts. The slice is not
  /// witnessed again until a majority has answered each of them.
  std::vector<IdempotencyTell> replicateSlice(const core::SliceId &slice,
                                              core::Epoch epoch,
                                              core::TimePoint now);

  /// Returns the tells of a slice that no majority has answered yet, to repeat
  /// them after a loss; answers that have come still count.
  std::vector<IdempotencyTell> pendingTells(const core::SliceId &slice,
                                            core::TimePoint now) const;

  /// Returns whether a majority of witnesses keeps every id of a slice.
  bool isReplicated(const core::SliceId &slice) const;

  /// Returns the slices that have ids, with the epoch of each.
  std::map<core::SliceId, core::Epoch> slices() const;

  /// Gives up a slice by a planned move and returns its ids for the new owner.
  IdempotencyHandover release(const core::SliceId &slice, core::Epoch epoch,
                              core::TimePoint now);

  /// Returns when `expire` has something to do next.
  std::optional<core::TimePoint> nextDeadline() const;

  /// Forgets ids whose window has passed.
  void expire(core::TimePoint now);

  std::size_t size() const;
  std::size_t answerBytes() const;

private:
  enum class State : std::uint8_t { AwaitingWitnesses, Sent, Done, Unknown };
  struct Entry {
    core::SliceId Slice;
    core::Epoch Epoch = 0;
    IdempotencyId Id;
    std::uint64_t Fingerprint = 0;
    TellSequence Sequence = 0;
    core::TimePoint FirstSeen{};
    State Status = State::AwaitingWitnesses;
    bool HasAnswer = false;
    std::string Answer;
    /// Answers of the witnesses, until a majority keeps the id.
    std::optional<WitnessQuorum> Quorum;
  };
  using Entries = std::list<Entry>;

  IdempotencyRegister(core::InstanceId owner, RegisterLimits limits);
  static BeginDecision repeated(const Entry &entry, std::uint64_t fingerprint);
  Entry *find(IdempotencyId id);
  Entry &add(Entry entry);
  void erase(Entries::iterator it);
  void store(Entry &entry, std::string_view answer);
  IdempotencyTell tell(const Entry &entry, core::TimePoint now) const;

  core::InstanceId Owner;
  RegisterLimits Limits;
  WitnessSets Witnesses;
  /// In order of first sight.
  Entries ByAge;
  std::unordered_map<IdempotencyId, Entries::iterator> ById;
  std::size_t AnswerBytes = 0;
  TellSequence NextSequence = 1;
};

} // namespace acaciaroad::requests

#endif
