/// \file
/// Lets traffic threads wait until the witnesses know an at-most-once request.

#ifndef ACACIAROAD_NODE_IDEMPOTENCYGATE_H
#define ACACIAROAD_NODE_IDEMPOTENCYGATE_H

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Requests/IdempotencyRegister.h"

namespace acaciaroad::node {

/// How the gate reaches the witnesses; called without a lock held.
struct IdempotencyGateHooks {
  std::function<void(core::InstanceId to, const requests::IdempotencyTell &)>
      Tell;
  std::function<void(core::InstanceId to, const requests::IdempotencyForget &)>
      Forget;
  core::NowFunction Now;
};

/// What follows for a request that may run.
struct IdempotencyTicket {
  requests::IdempotencyId Id;
  /// The stored answer of an earlier run; the order is not sent again.
  std::optional<std::string> Replay;
};

/// Serialises the calls of a requests::IdempotencyRegister.
class IdempotencyGate {
public:
  /// Errors: those of requests::IdempotencyRegister::create.
  static core::Result<std::shared_ptr<IdempotencyGate>>
  create(core::InstanceId self, IdempotencyGateHooks hooks);

  /// Sets whom to tell from now on.
  void setWitnesses(requests::WitnessSets witnesses);

  /// Registers \p request and waits until a majority of the witnesses keeps its
  /// id. Errors: those of requests::IdempotencyRegister::begin, and
  /// PeerUnreachable if the witnesses do not answer in time; then it has not
  /// run.
  core::Result<IdempotencyTicket>
  begin(const requests::IdempotentRequest &request, core::TimePoint deadline);

  /// Returns whether a slice whose ids were told again is witnessed now.
  bool acked(const requests::IdempotencyAck &ack);

  /// The order ran, with this answer; empty for one too large to be kept.
  void completed(const requests::IdempotencyId &id, std::string_view answer);
  void outcomeUnknown(const requests::IdempotencyId &id);
  void notRun(const requests::IdempotencyId &id);

  /// Takes over ids of a slice; see requests::IdempotencyRegister::importIds.
  core::Result<void> import(const requests::IdempotencyHandover &handover);

  /// Gives up a slice; see requests::IdempotencyRegister::release.
  requests::IdempotencyHandover release(const core::SliceId &slice,
                                        core::Epoch epoch);

  /// Tells all witnesses every id of a slice again; see
  /// requests::IdempotencyRegister::replicateSlice.
  void tellAll(const core::SliceId &slice, core::Epoch epoch);

  /// Whether majorities of the witnesses know all ids of a slice, or of all.
  bool isWitnessed(const core::SliceId &slice);
  bool areAllWitnessed();

  /// Repeats what witnesses have not answered.
  void retell();

private:
  /// One request that waits, on the stack of its thread.
  struct Waiter {
    std::condition_variable Wakeup;
    requests::QuorumState State = requests::QuorumState::Open;
  };

  IdempotencyGate(requests::IdempotencyRegister decisions,
                  IdempotencyGateHooks hooks);
  std::vector<core::InstanceId> witnesses() const;
  std::vector<requests::IdempotencyTell>
  retellLocked(const core::SliceId &slice, core::Epoch epoch);
  void tellEach(const std::vector<requests::IdempotencyTell> &messages,
                const std::vector<core::InstanceId> &to) const;
  void tell(const requests::IdempotencyTell &message,
            std::span<const core::InstanceId> to) const;
  core::Result<void> await(const requests::IdempotencyId &id, Waiter &waiter,
                           core::TimePoint deadline,
                           std::unique_lock<std::mutex> &lock);

  const IdempotencyGateHooks Hooks;
  std::mutex Mutex;
  requests::IdempotencyRegister Decisions;
  requests::WitnessSets Witnesses;
  std::map<requests::IdempotencyId, Waiter *> Waiters;
  /// Slices whose ids were told again and are not witnessed yet.
  std::set<core::SliceId> Retelling;
};

} // namespace acaciaroad::node

#endif
