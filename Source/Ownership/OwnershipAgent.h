/// \file
/// The part that one instance plays in ownership: holder, witness, successor.

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
  /// Interval after which an append without visible outcome is repeated.
  core::Duration AppendRetry = std::chrono::seconds(1);
  /// Silence of log and witnesses after which the instance is isolated; and
  /// time for which it may lag behind what its witnesses have read.
  core::Duration IsolationLimit = std::chrono::seconds(2);
  /// Silence of a witness after which the holder looks for another one.
  core::Duration WitnessSilenceLimit = std::chrono::milliseconds(1500);
  /// Least time between searches for other witnesses, and time for the
  /// candidates to answer.
  core::Duration WitnessSearchInterval = std::chrono::seconds(1);
  /// Time for which crowded witnesses are kept, lest a fleet that grows changes
  /// them at every step.
  core::Duration ColocatedDwell = std::chrono::seconds(5);
  /// For tests only.
  ProtocolFaults InjectedFaults;
};

/// What the agent needs of its surroundings. All are called on the control
/// thread, from within the agent's own functions; they must not call back.
struct AgentHooks {
  std::function<void(core::InstanceId to, const ControlMessage &)> Send;
  /// Appends in the background; the agent reads the outcome from the log.
  std::function<void(const OwnershipRecord &)> Append;
  /// view() is out of date.
  std::function<void()> Changed;
  /// A record changed the owner or the predecessors of a slice. Optional.
  std::function<void(SliceRef, core::TimePoint now)> SliceChanged;
  /// Whether this instance knows all that it needs to serve a slice whose
  /// former owners have ended. Optional; slicesMayStart() is to follow a no.
  std::function<bool(const core::SliceId &)> MayStart;
  /// Whether all that the witnesses keep for this instance is known to the
  /// candidates too. Optional.
  std::function<bool()> MayPropose;
};

/// The aggregate that a node's control thread hosts. It takes no clock reading
/// of its own: each \p now must be read after the input that it comes with has
/// arrived, because a witness's promise counts from it.
class OwnershipAgent {
public:
  /// Errors: InvalidArgument.
  static core::Result<std::unique_ptr<OwnershipAgent>>
  create(AgentOptions options, InstanceInfo info, AgentHooks hooks);

  /// Restores a checkpoint, before the first record. Errors: CorruptMessage.
  core::Result<void> restore(const FleetSnapshot &from);

  /// Enters the fleet. To be called once the log is read to its end.
  void join(core::TimePoint now);

  /// Sets what the upstream told of itself. To be called before join().
  void describe(std::string_view service, bool checksGrants);

  /// Folds a record; errors are those of FleetMap::apply.
  core::Result<void> onRecord(const OwnershipRecord &record,
                              core::Offset offset, core::TimePoint now);
  void onMessage(core::InstanceId from, const ControlMessage &message,
                 core::TimePoint now);
  /// Does what is due and returns when the next tick is needed.
  core::TimePoint onTick(core::TimePoint now);

  /// Tells whether the log answers; true also says that it was read to its end.
  void onLogReachable(bool isReachable, core::TimePoint now);

  /// Tells that no request of these slices runs any more. To be called for
  /// slices in drainingSlices(), by a traffic side that has seen the view that
  /// moved them. A request runs from before its check by mayServe. It counts
  /// for the slice that holds their key in that view, also if they began before
  /// the key became a hot one.
  void onSlicesIdle(std::span<const core::SliceId> slices, core::TimePoint now);

  /// Returns the lost slices that wait for their requests.
  std::vector<core::SliceId> drainingSlices() const;

  /// Tells that MayStart may answer otherwise now.
  void onStartConditionsChanged(core::TimePoint now) { startSlices(now); }

  /// Gives all slices away, then retires.
  void beginLeave(core::TimePoint now);
  /// Returns whether the log has retired this instance, by its own wish or
  /// not. It never serves again; the process has to start anew.
  bool hasLeft() const { return State == Phase::Retired; }
  /// Returns whether the log has accepted the join.
  bool hasJoined() const { return State >= Phase::Live; }

  bool isIsolated(core::TimePoint now) const;

  core::TimePoint leaseExpiry() const;

  /// Returns the sets of witnesses of which a majority each must agree to what
  /// this instance relies on: the present ones, and those it may propose.
  std::vector<std::vector<core::InstanceId>> witnessSets() const;

  /// Returns when onTick is needed next.
  core::TimePoint nextDeadline(core::TimePoint now) const;

  const FleetMap &map() const { return Map; }

  /// Returns the view for traffic threads, a new one only if it has changed.
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
  /// Earliest time of the next append of the join, the leave or the end.
  core::TimePoint NextPhaseAppend;
  core::TimePoint NextWitnessAppend;
  core::TimePoint NextSearch;
  std::optional<core::TimePoint> ColocatedSince;
  /// Witnesses and candidates that did not answer.
  std::set<core::InstanceId> SilentWitnesses;
  bool IsLeaveRequested = false;
  bool IsLogReachable = true;
  core::TimePoint LastLogContact;
  /// An offset that a witness has read and this instance has not, and since
  /// when that is known.
  core::Offset MissedOffset = 0;
  std::optional<core::TimePoint> BehindSince;

  std::shared_ptr<LeaseDeadlines> Clock = std::make_shared<LeaseDeadlines>();
  std::shared_ptr<const OwnershipView> View;
};

} // namespace acaciaroad::ownership

#endif
