/// \file
/// Key assignment and leases on the node of one upstream.

#ifndef ACACIAROAD_HOLDINGS_HOLDINGAGENT_H
#define ACACIAROAD_HOLDINGS_HOLDINGAGENT_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Core/Backoff.h"
#include "Core/Clock.h"
#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingTypes.h"
#include "Holdings/KeyRelease.h"
#include "Holdings/LeaseRenewal.h"
#include "Holdings/LoadMove.h"
#include "Holdings/OrphanWatch.h"
#include "Holdings/ReleaseInbox.h"

namespace acaciaroad::holdings {

/// Identity of the node during one incarnation.
struct AgentIdentity {
  std::string Name;
  std::string DataCentre;
  std::string Service;
  core::Endpoint Peer;
  std::uint64_t Incarnation = 0;
};

struct AgentTiming {
  /// Interval between heartbeats of the upstream.
  core::Duration Heartbeat{};
  /// Longest grant that the upstream accepts.
  core::Duration LongestGrant{};
};

/// Proposed assignment of keys, to be appended only if the log still ends at
/// At.
struct HoldingChange {
  std::string Service;
  /// Assignments of all keys of the service.
  std::vector<Holding> Rows;
  /// Parts that differ from the log.
  std::vector<HoldingPart> Parts;
  core::Offset At = 0;
  /// Reason for the change, as logged.
  std::string_view Reason;
  /// The assignments that end, and why each may end.
  std::vector<ReleasedKeys> Freed;
};

/// Outcome of appending a change.
enum class ChangeOutcome : std::uint8_t {
  Appended,
  /// The log had another end; nothing was appended.
  Refused,
  /// No answer arrived; the change may have been appended or may still be, at
  /// the proposed offset.
  Unknown,
};

/// Notice of released keys with the coordinator it goes to.
struct AddressedNotice {
  /// Node name of the coordinator.
  std::string To;
  ReleaseNotice Notice;
};

/// Grants keys to the node's own upstream within the node's lease, releases
/// keys that move to other nodes, and proposes new assignments. Only a record
/// in the log changes the holder of a key.
///
/// The first eligible node of a service, by name, is its coordinator. It
/// proposes new holders for the keys that other nodes have released, because
/// concurrent proposals of many nodes would mostly fail on a moved end of the
/// log. A node whose released keys the coordinator doesn't reassign in time
/// proposes the change itself.
///
/// The aggregate performs no I/O: the caller appends records and changes, sends
/// notices, and keeps the ledger up to date.
class HoldingAgent {
public:
  HoldingAgent(AgentIdentity identity, AgentTiming timing,
               core::TimePoint started);

  /// Applies a heartbeat. Returns false for a stale one, which the caller
  /// should acknowledge without a grant.
  bool acceptHeartbeat(const Heartbeat &heartbeat, core::TimePoint now);

  /// Called when the upstream \p id announces that it shuts down. Its first
  /// heartbeat may arrive only later, if the node has just started; the
  /// announcement still counts then, because it was acknowledged.
  void upstreamLeaves(std::string_view id, core::TimePoint now);

  /// Returns whether the log tells that the upstream \p id leaves, so that the
  /// node's next incarnation knows it too. A leave is acknowledged only then.
  /// Also true if the node has never heard of that upstream.
  bool isLeaveRecorded(std::string_view id, const FleetLedger &ledger) const;

  /// Called when the upstream refuses connections. Returns whether it now
  /// counts as absent, which requires that its heartbeats are late too.
  bool upstreamRefused(core::TimePoint now);

  /// Sets the load of the own upstream.
  void setLoad(KeyedLoad load) { Load = std::move(load); }
  /// Sets the load that \p node reports.
  void setPeerLoad(std::string_view node, const NodeLoad &load,
                   core::TimePoint now);

  /// Returns the median cost of a request on the other nodes of the service, as
  /// recently reported; 0 if none is known.
  double typicalCost(core::TimePoint now) const;

  /// Called when the log enters another era, before \p ledger does. Claims the
  /// keys that may still be granted.
  void enterEra(const FleetLedger &ledger, core::TimePoint now);

  /// Returns the claim to append with each of the node's records, until it is
  /// in the log: only then may a record extend the lease.
  std::optional<HoldingClaim> pendingClaim(const FleetLedger &ledger) const;

  /// Called when the node starts to shut down; it then proposes no more
  /// changes.
  void beginDrain() { Draining = true; }

  /// Returns the keys to lease to the upstream, or nullopt if the node's own
  /// lease leaves no time for a grant. Call it once for each heartbeat that
  /// `acceptHeartbeat` has accepted.
  std::optional<Grant> grant(const FleetLedger &ledger, core::TimePoint now);

  /// Returns the answer to a heartbeat of \p process: the same, but nullopt for
  /// a process that has been replaced since, which would hold the keys of the
  /// newer one.
  std::optional<Grant> grantTo(const UpstreamProcess &process,
                               const FleetLedger &ledger, core::TimePoint now);

  /// Returns the node's record if it is due to be appended. \p isKeyless tells
  /// that the node's service doesn't assign keys. Also marks the upstream as
  /// absent once it has missed too many heartbeats.
  std::optional<NodeRecord> nextRecord(const FleetLedger &ledger,
                                       bool isKeyless, core::TimePoint now);

  /// Called when the record \p sequence is sent to the log. The lease runs from
  /// \p sent, once the record has been read back.
  void recordSent(std::uint64_t sequence, core::TimePoint sent) {
    Lease.sent(sequence, sent);
  }

  /// Called when the log has acknowledged the record \p sequence.
  void recordAcknowledged(std::uint64_t sequence) {
    Lease.acknowledged(sequence);
  }

  /// Returns whether \p sequence is the number of the last record sent.
  bool isLastRecord(std::uint64_t sequence) const {
    return Lease.isLast(sequence);
  }
  /// Renews the lease together with other nodes, from \p round on.
  void joinRenewalRound(core::TimePoint round) { Lease.joinRound(round); }
  /// Makes the node's record due at \p now.
  void renewAt(core::TimePoint now) { Lease.renewAt(now); }

  /// Returns a notice that is due to be sent to the coordinator. To be called
  /// until there is none: what doesn't fit into one notice follows in others.
  std::optional<AddressedNotice> nextNotice(const FleetLedger &ledger,
                                            core::TimePoint now);

  /// Called for a notice from another node, which considers this one the
  /// coordinator.
  void receiveNotice(ReleaseNotice notice, core::TimePoint now) {
    Inbox.add(std::move(notice), now);
  }

  /// Returns whether `nextChange` would return a change.
  bool hasChangeToPropose(const FleetLedger &ledger, core::TimePoint now) const;

  /// Returns a change to append now. There are no further ones until the log
  /// has moved on, the append was refused, or a timeout has passed. After a few
  /// refusals, proposals back off: many nodes propose at once if their
  /// coordinator is lost.
  std::optional<HoldingChange> nextChange(const FleetLedger &ledger,
                                          core::TimePoint now);
  void changeCompleted(ChangeOutcome outcome, core::TimePoint now);

  /// The log could not be read before a change is proposed. Proposals back off
  /// from the first failure on; meanwhile the node can follow the log through
  /// others.
  void proposalReadFailed(core::TimePoint now);

  /// To be called after each change of the ledger, and periodically.
  void ledgerChanged(const FleetLedger &ledger, core::TimePoint now);

  /// Returns how long the answer to a heartbeat should be delayed, so that it
  /// can carry a change of the grant that is about to happen. 0 if the grant is
  /// urgent, that is if it has changed or keys have to be released.
  core::Duration answerDelay(const FleetLedger &ledger) const;

  /// Key ranges that the own upstream has to release.
  std::vector<KeyRange> outgoing() const { return Release.ranges(); }

  const UpstreamProcess &upstreamProcess() const { return Process; }
  UpstreamState state() const { return State; }
  /// Number of the last heartbeat that was accepted.
  std::uint64_t heartbeatSequence() const { return HeartbeatSequence; }
  core::TimePoint authorityUntil() const { return Lease.authorityUntil(); }

private:
  using Rows = std::vector<Holding>;

  core::Duration grantLength() const;
  bool hasPendingClaim(const FleetLedger &ledger) const;
  bool owns(const Holding &row) const;
  std::vector<Holding> ownHoldings(const FleetLedger &ledger) const;
  bool isHeldByFormerProcess(const Holding &row) const;
  bool mustReleaseKeys(const FleetLedger &ledger) const;
  /// Takes over what the node's former incarnation wrote into the log.
  void resume(const NodeRecord &former, core::TimePoint now);
  /// Returns whether \p process had ended when \p Left left; its heartbeats
  /// are late.
  bool isBeforeLeft(const UpstreamProcess &process, core::TimePoint now) const;
  /// Returns whether the last grant of \p row, an assignment to this node, has
  /// run out. Keys that the upstream hasn't released aren't given to another
  /// process before, whatever the reason. Only a later life of the same
  /// upstream may have them at once: it says itself that the earlier one has
  /// ended.
  bool isHoldOver(const Holding &row, core::TimePoint now) const;
  bool isHeldByEarlierLife(const Holding &row) const;
  void planOutgoing(const FleetLedger &ledger, core::TimePoint now);
  void planForNewNodes(const FleetLedger &ledger, core::TimePoint now);
  void planForLoad(const FleetLedger &ledger, core::TimePoint now);
  std::vector<MoveCandidate> moveCandidates(const FleetLedger &ledger,
                                            core::TimePoint now) const;
  /// Returns the own upstream's keys that may be assigned to another node.
  std::vector<ReleasedKeys> reassignableKeys(const FleetLedger &ledger,
                                             core::TimePoint now) const;
  void withhold(const FleetLedger &ledger, std::span<const Holding> proposed);
  HoldingChange propose(const FleetLedger &ledger, Rows rows,
                        std::string_view reason,
                        std::vector<ReleasedKeys> freed) const;
  std::optional<HoldingChange> planChange(const FleetLedger &ledger,
                                          core::TimePoint now) const;
  std::optional<HoldingChange> planProcessRestart(const FleetLedger &ledger,
                                                  core::TimePoint now) const;
  std::optional<HoldingChange> planReleased(const FleetLedger &ledger,
                                            core::TimePoint now) const;
  std::optional<HoldingChange> planOrphans(const FleetLedger &ledger,
                                           core::TimePoint now) const;
  NodeRecord describe() const;

  /// A change that was proposed and whose outcome isn't read yet.
  struct PendingChange {
    core::Offset At = 0;
    core::TimePoint Since{};
  };
  struct PeerLoadEstimate {
    NodeLoad Load;
    core::TimePoint At{};
    /// Utilization that keys moved to the node will add but that its reported
    /// load doesn't show yet.
    double PendingUtilization = 0;
    core::TimePoint PendingUntil{};
  };

  AgentIdentity Identity;
  AgentTiming Timing;
  LeaseRenewal Lease;
  KeyRelease Release;
  ReleaseInbox Inbox;
  OrphanWatch Orphans;
  UpstreamProcess Process;
  UpstreamState State = UpstreamState::Absent;
  std::uint64_t HeartbeatSequence = 0;
  std::uint32_t Slots = 0;
  std::string Version;
  bool HasHeartbeat = false;
  bool Draining = false;
  /// The current upstream process has announced that it shuts down.
  bool IsProcessLeaving = false;
  /// Upstream that announced its shutdown before its first heartbeat, and when.
  std::string LeftUpstreamId;
  core::TimePoint LeftAt{};
  /// Process that had left when a former incarnation of the node ended, and
  /// when this was read; unknown if there was none.
  UpstreamProcess Left;
  core::TimePoint LeftReadAt{};
  core::TimePoint LastHeartbeatAt{};
  std::vector<Holding> GrantedRows;
  /// Keys claimed in the present era of the log.
  std::vector<Holding> ClaimedRows;
  /// The upstream may hold keys until its last grant ends, at this time.
  core::TimePoint HeldUntil{};
  /// Former processes of the upstream may hold keys until then.
  core::TimePoint FormerHeldUntil{};
  std::optional<PendingChange> Pending;
  /// The last change was refused.
  bool WasRefused = false;
  core::Backoff ProposalPauses;
  /// No change is proposed until then.
  core::TimePoint NextProposal{};
  /// Set while `reassignableKeys` isn't empty.
  std::optional<core::TimePoint> ReassignableSince;
  core::TimePoint LastNoticeAt{};
  /// First of the keys that the next notice tells.
  std::size_t NoticeRow = 0;
  core::TimePoint NextBatch{};
  core::TimePoint NextMove{};
  KeyedLoad Load;
  std::map<std::string, PeerLoadEstimate, std::less<>> PeerLoads;
};

} // namespace acaciaroad::holdings

#endif
