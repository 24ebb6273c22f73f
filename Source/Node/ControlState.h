/// \file
/// The control state of one node: configuration, ownership, the credit that it
/// gives out, and the ids that it keeps as a witness.

#ifndef ACACIAROAD_NODE_CONTROLSTATE_H
#define ACACIAROAD_NODE_CONTROLSTATE_H

#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Accounts/CreditOwner.h"
#include "Codec/ControlCodec.h"
#include "Codec/LogEntry.h"
#include "Configuration/Catalogue.h"
#include "Core/Clock.h"
#include "Core/Error.h"
#include "Node/NodeView.h"
#include "Node/PeerDirectory.h"
#include "Node/PlacementLog.h"
#include "Ownership/OwnershipAgent.h"
#include "Requests/HandoverTracker.h"
#include "Requests/IdempotencyWitness.h"

namespace acaciaroad::node {

/// A decoded entry of the log and its place.
struct PlacedEntry {
  core::Offset Offset = 0;
  codec::LogEntry Entry;
};

/// Receives the fate of a submitted entry: its offset once it was accepted.
using SubmitHandler = std::function<void(core::Result<core::Offset>)>;

/// What the control state needs; all are called on the control thread.
struct ControlStateHooks {
  std::function<void(std::string_view address, const codec::PeerControl &)>
      Send;
  /// Appends without blocking. \p onFailed runs if the entry surely was not
  /// written.
  std::function<void(const codec::LogEntry &, std::function<void()> onFailed)>
      Append;
  std::function<void(std::shared_ptr<const NodeView>)> Publish;
  /// Slices moved away; onSlicesIdle is to follow for each.
  std::function<void(std::span<const core::SliceId>)> ReleaseSlices;
  /// Ids of at-most-once requests, as the traffic side keeps them; see
  /// IdempotencyGate.
  std::function<requests::IdempotencyHandover(const core::SliceId &,
                                              core::Epoch)>
      ReleaseIds;
  std::function<core::Result<void>(const requests::IdempotencyHandover &)>
      ImportIds;
  std::function<void(const core::SliceId &, core::Epoch)> TellIds;
  std::function<void()> RetellIds;
  std::function<bool(const core::SliceId &)> AreIdsWitnessed;
  std::function<bool()> AreAllIdsWitnessed;
  /// A message of this node's own traffic threads.
  std::function<void(const codec::ControlBody &)> DeliverToTraffic;
  /// An instance told how far it has folded the log.
  std::function<void(core::InstanceId, core::Offset)> OnOffset;
  std::shared_ptr<const PlacementLog> Log;
  core::NowFunction Now;
};

/// The aggregate root that the control thread hosts. All members belong to that
/// thread.
class ControlState {
public:
  /// Errors: those of ownership::OwnershipAgent::create.
  static core::Result<std::unique_ptr<ControlState>>
  create(const ownership::AgentOptions &options, ownership::InstanceInfo info,
         ControlStateHooks hooks);

  /// Restores a checkpoint before the first entry.
  core::Result<void> restore(const configuration::CatalogueSnapshot &catalogue,
                             const ownership::FleetSnapshot &fleet);

  /// Folds entries; \p isCurrent says that the log was read to its end.
  void onEntries(std::span<const PlacedEntry> entries, core::Offset next,
                 bool isCurrent);
  void onLogReachable(bool isReachable);
  void onControl(const codec::PeerControl &message,
                 std::string_view replyAddress);

  /// Does what is due and returns the time of the next call.
  core::TimePoint onTick(core::TimePoint now);

  /// The upstream announced itself: joins the fleet once the log is current.
  void announced(std::string_view service, bool checksGrants);

  void onSlicesIdle(std::span<const core::SliceId> slices);
  void beginLeave();

  /// Ids that were told to witnesses again are kept by majorities now.
  void onIdsWitnessed();

  /// Whether this incarnation has been retired; it never serves again.
  bool hasLeft() const { return Agent->hasLeft(); }
  bool isCurrent() const { return Current; }

  /// Appends an entry and reports once it is folded. Errors: the reason of its
  /// refusal, LogUnavailable, LogOutcomeUnknown after SubmitTimeout.
  void submit(codec::LogEntry entry, SubmitHandler handler);

  /// Asks all instances to tell once they have folded the record at \p offset.
  void queryOffsets(core::Offset offset);

  core::Offset nextOffset() const { return NextOffset; }
  const configuration::Catalogue &catalogue() const { return *Configuration; }
  const ownership::OwnershipAgent &agent() const { return *Agent; }

private:
  static constexpr std::chrono::seconds SubmitTimeout{5};
  static constexpr std::chrono::milliseconds RetellInterval{100};

  struct PendingSubmit {
    codec::LogEntry Entry;
    SubmitHandler Handler;
    core::TimePoint Deadline{};
  };

  struct OffsetAsk {
    core::InstanceId From;
    core::Offset Offset = 0;
  };

  /// Unanswered questions; the oldest is dropped beyond.
  static constexpr std::size_t MaxOffsetAsks = 256;

  explicit ControlState(ControlStateHooks hooks);
  ownership::AgentHooks agentHooks();

  core::Result<void> fold(const PlacedEntry &entry);
  void resolve(const PlacedEntry &entry, const core::Result<void> &verdict);
  void expireSubmits(core::TimePoint now);
  void joinIfReady();
  void send(core::InstanceId to, codec::ControlBody body);
  void reply(core::InstanceId to, codec::ControlBody body);

  void handle(core::InstanceId from, const ownership::ControlMessage &message);
  void handle(core::InstanceId from, const accounts::CreditAsk &message);
  void handle(core::InstanceId from, const accounts::CreditGrant &message);
  void handle(core::InstanceId from, const accounts::CreditReturn &message);
  void handle(core::InstanceId from, const accounts::CreditHandover &message);
  void handle(core::InstanceId from, const requests::IdempotencyTell &message);
  void handle(core::InstanceId from, const requests::IdempotencyAck &message);
  void handle(core::InstanceId from,
              const requests::IdempotencyForget &message);
  void handle(core::InstanceId from,
              const requests::IdempotencyHandoverAsk &message);
  void handle(core::InstanceId from,
              const requests::IdempotencyHandover &message);
  void handle(core::InstanceId from, const codec::OffsetQuery &message);
  void handle(core::InstanceId from, const codec::OffsetReport &message);

  void answerOffsetQueries();
  void publishIfChanged();
  void reviewAccountsIfMoved();
  void reviewAccount(const configuration::ClientAccount &account,
                     core::TimePoint now);
  /// Whether this instance has started the account's slice; the lease is
  /// checked at each grant.
  bool ownsAccount(std::string_view account) const;
  bool mayGrant(std::string_view account, core::TimePoint now) const;
  void releaseSlices();
  void handOverCredit(std::span<const core::SliceId> slices);
  void handOverIds(std::span<const core::SliceId> slices);

  void onSliceTouched(ownership::SliceRef ref, core::TimePoint now);
  bool mayStart(const core::SliceId &slice) const;
  bool needsIds(std::string_view service) const;
  void noteClasses();
  requests::HandoverSource sourceOf(core::InstanceId id) const;
  void onImported(const requests::IdempotencyHandover &handover);
  void onSourceLost(core::InstanceId owner);
  void askForIds(core::TimePoint now);
  void logPlacement(const codec::LogEntry &entry);
  void logLease(core::TimePoint now);
  void logGrants();

  const ControlStateHooks Hooks;
  std::unique_ptr<configuration::Catalogue> Configuration;
  std::unique_ptr<ownership::OwnershipAgent> Agent;
  accounts::CreditOwner Credit;
  std::unique_ptr<requests::IdempotencyWitness> Witness;
  PeerDirectory Peers;
  core::InstanceId Self;
  core::Offset NextOffset = 0;
  std::list<PendingSubmit> Submits;
  /// Questions about offsets that are not folded yet.
  std::deque<OffsetAsk> OffsetAsks;
  std::set<core::SliceId> Releasing;
  /// Epochs at which this instance owns slices, as far as ids are concerned.
  std::map<core::SliceId, core::Epoch> Owned;
  requests::HandoverTracker Handovers{core::InstanceId{}};
  /// Credit that former owners handed over, until the account is owned.
  std::map<std::string, accounts::CreditHandover, std::less<>> CreditIn;
  core::TimePoint NextRetell{};
  /// Slices that were served at the last publication, and those given up whose
  /// requests still run.
  ownership::GrantTable Served;
  std::map<core::SliceId, core::Epoch> Stopping;
  /// Services with a class that runs at most once.
  std::set<std::string, std::less<>> OnceServices;
  /// Accounts were changed, or slices of accounts started or ended.
  bool AccountsMoved = false;
  bool HadLease = false;
  bool Changed = true;
  bool Current = false;
  bool WantsJoin = false;
};

} // namespace acaciaroad::node

#endif
