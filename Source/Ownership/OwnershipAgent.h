/// \file
/// The ownership protocol of one instance, as lease holder, witness and
/// successor.

#ifndef ACACIAROAD_OWNERSHIP_OWNERSHIPAGENT_H
#define ACACIAROAD_OWNERSHIP_OWNERSHIPAGENT_H

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"
#include "Membership/FailureDetector.h"
#include "Ownership/FleetMap.h"
#include "Ownership/LeaseExpiryTracker.h"
#include "Ownership/LeaseHolder.h"
#include "Ownership/LeaseMessages.h"
#include "Ownership/LeaseRules.h"
#include "Ownership/LeaseWitness.h"
#include "Ownership/OwnershipView.h"
#include "Ownership/SliceLedger.h"

namespace acaciaroad::ownership {

struct AgentOptions {
  LeaseRules Lease;
  membership::DetectorOptions Detector;
  /// Interval after which a record is appended again if its outcome is not yet
  /// visible in the log.
  core::Duration AppendRetry = std::chrono::seconds(1);
  /// Time without contact to the log and to a majority of the witnesses after
  /// which the instance is isolated; also the time for which it may lag behind
  /// the log offset that its witnesses have read.
  core::Duration IsolationLimit = std::chrono::seconds(2);
  /// Silence of a witness after which the holder searches for another one.
  core::Duration WitnessSilenceLimit = std::chrono::milliseconds(1500);
  /// Minimum interval between searches for other witnesses; also the time that
  /// the candidates have to answer.
  core::Duration WitnessSearchInterval = std::chrono::seconds(1);
  /// How long witnesses in the same data centre are kept, so that a growing
  /// fleet does not replace them at every join.
  core::Duration ColocatedDwell = std::chrono::seconds(5);
  /// For tests only.
  ProtocolFaults InjectedFaults;
};

/// Callbacks of the agent. All are called on the control thread from within
/// member functions of the agent and must not call the agent.
struct AgentHooks {
  std::function<void(core::InstanceId to, const ControlMessage &)> Send;
  /// Appends asynchronously; the agent reads the outcome from the log.
  std::function<void(const OwnershipRecord &)> Append;
  /// The result of view() is outdated.
  std::function<void()> Changed;
  /// A record changed the owner or the predecessors of a slice. Optional.
  std::function<void(SliceRef, core::TimePoint now)> SliceChanged;
  /// Returns whether this instance has all the state it needs to serve a slice
  /// whose former owners have stopped. Optional. After it has returned false,
  /// onStartConditionsChanged() must be called once the result changes.
  std::function<bool(const core::SliceId &)> MayStart;
  /// Returns whether the candidates have all the state that the witnesses keep
  /// for this instance. Optional.
  std::function<bool()> MayPropose;
};

/// Aggregate that runs on the control thread of a node. It never reads the
/// clock itself: each \p now must be read after the accompanying input has
/// arrived, because the promise of a witness counts from it.
class OwnershipAgent {
public:
  /// Errors: InvalidArgument.
  static core::Result<std::unique_ptr<OwnershipAgent>>
  create(AgentOptions options, InstanceInfo info, AgentHooks hooks);

  /// Restores a checkpoint, before the first record. Errors: CorruptMessage.
  core::Result<void> restore(const FleetSnapshot &from);

  /// Joins the fleet. Must be called after the log was read to its end.
  void join(core::TimePoint now);

  /// Sets the properties reported by the upstream. Must be called before
  /// join().
  void describe(std::string_view service, bool checksGrants);

  /// Applies a record. Errors: those of FleetMap::apply.
  core::Result<void> onRecord(const OwnershipRecord &record,
                              core::Offset offset, core::TimePoint now);
  void onMessage(core::InstanceId from, const ControlMessage &message,
                 core::TimePoint now);
  /// Performs all due actions and returns when the next tick is needed.
  core::TimePoint onTick(core::TimePoint now);

  /// Reports whether the log is reachable; true also means that it was read to
  /// its end.
  void onLogReachable(bool isReachable, core::TimePoint now);

  /// Reports that no request for these slices is in flight. Must be called for
  /// slices in drainingSlices() only, after all traffic threads have seen the
  /// view in which they moved. A request is in flight from before its mayServe
  /// check. It counts towards the slice that holds its key in that view, even
  /// if it began before the key became hot.
  void onSlicesIdle(std::span<const core::SliceId> slices, core::TimePoint now);

  /// Returns the lost slices with requests in flight.
  std::vector<core::SliceId> drainingSlices() const;

  /// Reports that the result of MayStart may have changed.
  void onStartConditionsChanged(core::TimePoint now) { startSlices(now); }

  /// Hands all slices over, then retires.
  void beginLeave(core::TimePoint now);
  /// Returns whether the log has retired this instance, at its own request or
  /// not. It never serves again; the process must restart.
  bool hasLeft() const { return State == Phase::Retired; }
  /// Returns whether the log has accepted the join.
  bool hasJoined() const { return State >= Phase::Live; }

  bool isIsolated(core::TimePoint now) const;

  core::TimePoint leaseExpiry() const;

  /// Returns the witness sets of which a majority each must acknowledge the
  /// state this instance relies on: the current set and any candidates.
  std::vector<std::vector<core::InstanceId>> witnessSets() const;

  /// Returns when onTick is needed next.
  core::TimePoint nextDeadline(core::TimePoint now) const;

  const FleetMap &map() const { return Map; }

  /// Returns the view for traffic threads; a new one only after a change.
  std::shared_ptr<const OwnershipView> view();

private:
  enum class Phase : std::uint8_t { Idle, Joining, Live, Leaving, Retired };

  OwnershipAgent(AgentOptions options, InstanceInfo info, AgentHooks hooks);

  void handle(core::InstanceId from, const LeaseAsk &, core::TimePoint now);
  void handle(core::InstanceId from, const LeasePromise &, core::TimePoint now);
  void handle(core::InstanceId from, const LeaseRefusal &, core::TimePoint now);
  void handle(core::InstanceId from, const ConfirmQuery &, core::TimePoint now);
  void handle(core::InstanceId from, const LapseConfirmed &,
              core::TimePoint now);
  void handle(core::InstanceId from, const Released &, core::TimePoint now);
  void handle(core::InstanceId from, const Probe &, core::TimePoint now);
  void handle(core::InstanceId from, const ProbeReply &, core::TimePoint now);
  void handle(core::InstanceId from, const SilenceQuery &, core::TimePoint now);
  void handle(core::InstanceId from, const SilenceReport &,
              core::TimePoint now);

  void onInstanceChanged(core::InstanceId id, core::TimePoint now);
  void onSelfChanged(core::TimePoint now);
  void onJoined(const InstanceState &state, core::TimePoint now);
  void onRetired();
  void updateWatch(core::InstanceId id, core::TimePoint now);

  void renew(core::TimePoint now);
  bool mayPropose(core::TimePoint now) const;
  void publishLease();
  void onLogOffsetSeen(core::Offset offset, core::TimePoint now);
  bool isBehindLog(core::TimePoint now) const;
  void reviewWitnesses(core::TimePoint now);
  bool updateSilentWitnesses(core::TimePoint now);
  bool needsWitnesses(core::TimePoint now);
  void searchWitnesses(core::TimePoint now);
  void proposeWitnesses(core::TimePoint now);
  void startSlices(core::TimePoint now);
  void queryWitnesses(core::TimePoint now);
  void sendLapseConfirmations(core::TimePoint now);
  void runFailureDetector(core::TimePoint now);
  void probeHolder(core::InstanceId holder);
  void proposeLost(core::InstanceId holder);
  void appendDueRecords(core::TimePoint now);
  void appendPhaseRecord(core::TimePoint now);
  void releaseSlices(core::TimePoint now);
  void markChanged();
  std::uint32_t sinceMajority(core::TimePoint now) const;
  void onHeartbeat(core::InstanceId holder, std::uint32_t sinceMajority,
                   core::TimePoint now);
  bool isActive() const {
    return State == Phase::Live || State == Phase::Leaving;
  }

  AgentOptions Options;
  InstanceInfo Info;
  AgentHooks Hooks;
  Phase State = Phase::Idle;
  FleetMap Map;
  LeaseHolder Holder;
  LeaseWitness Witness;
  LeaseExpiryTracker Lapses;
  SliceLedger Slices;
  membership::FailureDetector Detector;

  core::Offset JoinedAt = 0;
  core::TimePoint LiveSince;
  core::TimePoint WitnessesSince;
  core::TimePoint NextRenewal;
  /// Earliest time of the next append of a join, leave or stop record.
  core::TimePoint NextPhaseAppend;
  core::TimePoint NextWitnessAppend;
  core::TimePoint NextSearch;
  std::optional<core::TimePoint> ColocatedSince;
  /// Witnesses and candidates that did not answer.
  std::set<core::InstanceId> SilentWitnesses;
  bool IsLeaveRequested = false;
  bool IsLogReachable = true;
  core::TimePoint LastLogContact;
  /// An offset that a witness has read and this instance has not, and the time
  /// at which this instance learned of it.
  core::Offset MissedOffset = 0;
  std::optional<core::TimePoint> BehindSince;

  std::shared_ptr<LeaseDeadlines> Clock = std::make_shared<LeaseDeadlines>();
  std::shared_ptr<const OwnershipView> View;
};

} // namespace acaciaroad::ownership

#endif
