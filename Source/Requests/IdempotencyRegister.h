/// \file
/// Deduplication of at-most-once requests at the owner of a slice.

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

/// Bounds of an `IdempotencyRegister`.
struct RegisterLimits {
  /// How long an id is kept after it was first seen.
  core::Duration Window = std::chrono::minutes(2);
  std::size_t MaxIds = 131'072;
  /// Total size of the stored answers.
  std::size_t MaxTotalAnswerBytes = std::size_t{16} << 20U;
  /// Larger answers are not stored.
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
  /// Send the tell to all witnesses; the request waits for a majority of them.
  AwaitWitnesses,
  /// There are no witnesses; the request may be sent at once.
  Send,
  /// The request has run before; the caller gets the stored answer.
  Replay,
  Refused,
};

/// The decision on an at-most-once request.
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

/// Keeps each id from when it is first seen until the window has passed. The id
/// of a request that was sent is removed earlier only if the upstream reports
/// that the request has not run. A full register refuses new ids rather than
/// evict old ones.
class IdempotencyRegister {
public:
  /// Fails with InvalidArgument for a null owner, a window that is not positive
  /// or `MaxIds` of 0.
  static core::Result<IdempotencyRegister> create(core::InstanceId owner,
                                                  RegisterLimits limits);

  /// Sets the witnesses for requests from now on. Before the owner relies on
  /// new witnesses alone, all existing ids must be replicated to them; see
  /// `replicateSlice`.
  void setWitnesses(WitnessSets witnesses);

  /// Decides on a request. The first one with an id gets AwaitWitnesses, or
  /// Send if there are no witnesses.
  BeginDecision begin(const IdempotentRequest &request, core::TimePoint now);

  /// Adds a witness's answer. Returns Reached exactly once, when the request
  /// may be sent; Impossible if it must not be sent, in which case the caller
  /// calls `removeNotRun`; otherwise Open.
  QuorumState onAck(const IdempotencyAck &ack);

  /// Records that the request ran, and stores its answer if it fits.
  void markCompleted(IdempotencyId id, std::string_view answer);

  /// Records that the request was sent and its outcome is unknown.
  void markOutcomeUnknown(IdempotencyId id);

  /// Removes the id of a request that was not sent, or that the upstream
  /// reports as not run. Returns the message to all witnesses; nothing for an
  /// id that is unknown here or whose request may have run.
  std::optional<IdempotencyForget> removeNotRun(IdempotencyId id);

  /// Imports the ids of a slice from a witness or the former owner. Fails with
  /// RegisterFull; the owner must not start to serve the slice then.
  core::Result<void> importIds(const IdempotencyHandover &handover,
                               core::TimePoint now);

  /// Starts to replicate all ids of a slice to the current witnesses and
  /// returns the tells to send. Needed for witnesses that know no ids yet: new
  /// ones, and those of a successor before it starts. The slice counts as
  /// replicated again once a majority has stored each id.
  std::vector<IdempotencyTell> replicateSlice(const core::SliceId &slice,
                                              core::Epoch epoch,
                                              core::TimePoint now);

  /// Returns the tells of a slice that no majority has acknowledged yet, to
  /// send them again in case of message loss. Answers already received still
  /// count.
  std::vector<IdempotencyTell> pendingTells(const core::SliceId &slice,
                                            core::TimePoint now) const;

  /// Returns whether a majority of the witnesses stores every id of a slice.
  bool isReplicated(const core::SliceId &slice) const;

  /// Returns the slices that have ids, each with its epoch.
  std::map<core::SliceId, core::Epoch> slices() const;

  /// Removes the ids of a slice in a planned move and returns them for the new
  /// owner.
  IdempotencyHandover release(const core::SliceId &slice, core::Epoch epoch,
                              core::TimePoint now);

  /// Returns when the next id expires.
  std::optional<core::TimePoint> nextDeadline() const;

  /// Removes ids whose window has passed.
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
    /// Answers of the witnesses; reset once a majority has stored the id.
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
  /// Ordered by `FirstSeen`.
  Entries ByAge;
  std::unordered_map<IdempotencyId, Entries::iterator> ById;
  std::size_t AnswerBytes = 0;
  TellSequence NextSequence = 1;
};

} // namespace acaciaroad::requests

#endif
