/// \file
/// What one node does about the keys that its upstream holds.

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

#include "Core/Clock.h"
#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingTypes.h"
#include "Holdings/KeyRelease.h"
#include "Holdings/LeaseRenewal.h"
#include "Holdings/LoadMove.h"
#include "Holdings/OrphanWatch.h"
#include "Holdings/ReleaseInbox.h"

namespace acaciaroad::holdings {

/// The node itself; fixed for one incarnation.
struct AgentIdentity {
  std::string Name;
  std::string DataCentre;
  std::string Service;
  core::Endpoint Peer;
  std::uint64_t Incarnation = 0;
};

struct AgentTiming {
  /// Interval of the upstream's heartbeats.
  core::Duration Heartbeat{};
  /// The longest grant that the upstream takes.
  core::Duration LongestGrant{};
};

/// New holders, valid only at one end of the log.
struct HoldingChange {
  std::string Service;
  /// All keys of the service.
  std::vector<Holding> Rows;
  /// What differs from the log.
  std::vector<HoldingPart> Parts;
  core::Offset At = 0;
  /// Why, for the log.
  std::string_view Reason;
};

/// How an appended change ended.
enum class ChangeOutcome : std::uint8_t {
  Appended,
  /// The log has gone on; nothing was appended.
  Refused,
  /// No answer came; the record may still be appended at its place.
  Unknown,
};

/// What one node tells the coordinator of its service.
struct AddressedNotice {
  /// Name of the coordinator.
  std::string To;
  ReleaseNotice Notice;
};

/// Grants keys to the own upstream within the node's lease, lets keys go that
/// move away, and proposes new holders. Only a record in the log changes a
/// holder. The first eligible node of a service is its coordinator: it proposes
/// what the others have released, since proposals of many nodes would mostly
/// find the log's end moved. Whoever finds it idle proposes itself. A pure
/// aggregate: the caller appends what it proposes, passes its notices on, and
/// feeds the ledger.
class HoldingAgent {
public:
  HoldingAgent(AgentIdentity identity, AgentTiming timing,
               core::TimePoint started);

  /// Takes a heartbeat. Returns false for one that is older than what is known,
  /// which is acknowledged and not used.
  bool acceptHeartbeat(const Heartbeat &heartbeat, core::TimePoint now);

  /// The upstream \p id says that it leaves. It may be heard of only later: a
  /// node that has just started is bound by what it acknowledges too.
  void upstreamLeaves(std::string_view id, core::TimePoint now);

  /// The upstream's address refuses connections. Returns whether it is taken as
  /// absent: only if its heartbeats are missing too.
  bool upstreamRefused(core::TimePoint now);

  /// The load of the own upstream, and that of another node.
  void setLoad(KeyedLoad load) { Load = std::move(load); }
  void setPeerLoad(std::string_view node, const NodeLoad &load,
                   core::TimePoint now);

  /// The node shuts down: it proposes nothing more.
  void beginDrain() { Draining = true; }

  /// Returns what the upstream is to hold; nothing if that isn't known. To be
  /// called once for each heartbeat that `acceptHeartbeat` has taken.
  std::optional<Grant> grant(const FleetLedger &ledger, core::TimePoint now);

  /// Returns the node's record if it is to be appended now. A node that
  /// \p isKeyless has a service without keys.
  std::optional<NodeRecord> nextRecord(const FleetLedger &ledger,
                                       bool isKeyless, core::TimePoint now);

  /// The record was appended; its lease counts from \p sent once it is read.
  void recordSent(std::uint64_t sequence, core::TimePoint sent) {
    Lease.sent(sequence, sent);
  }

  /// Returns what the coordinator is to be told now, if anything.
  std::optional<AddressedNotice> nextNotice(const FleetLedger &ledger,
                                            core::TimePoint now);

  /// Another node takes this one for the coordinator.
  void receiveNotice(ReleaseNotice notice, core::TimePoint now) {
    Inbox.add(std::move(notice), now);
  }

  /// Whether `nextChange` has something to propose, on the records read so far.
  bool hasChangeToPropose(const FleetLedger &ledger, core::TimePoint now) const;

  /// Returns a change to append now.
  std::optional<HoldingChange> nextChange(const FleetLedger &ledger,
                                          core::TimePoint now);
  void changeCompleted(ChangeOutcome outcome, core::TimePoint now);

  /// To be called after the ledger has read on.
  void ledgerChanged(const FleetLedger &ledger, core::TimePoint now);

  /// How long the answer to a heartbeat is worth delaying: a grant that changes
  /// soon needn't wait for the next heartbeat then. 0 if the upstream should
  /// know at once what there is.
  core::Duration answerDelay(const FleetLedger &ledger) const;

  /// Ranges of keys that the own upstream is to let go.
  std::vector<KeyRange> outgoing() const { return Release.ranges(); }

  const UpstreamProcess &upstreamProcess() const { return Process; }
  UpstreamState state() const { return State; }
  core::TimePoint authorityUntil() const { return Lease.authorityUntil(); }

private:
  using Rows = std::vector<Holding>;

  core::Duration grantLength() const;
  bool owns(const Holding &row) const;
  std::vector<Holding> ownHoldings(const FleetLedger &ledger) const;
  bool isHeldByFormerProcess(const Holding &row) const;
  bool mustReleaseKeys(const FleetLedger &ledger) const;
  bool isProcessGone(core::TimePoint now) const;
  void planOutgoing(const FleetLedger &ledger, core::TimePoint now);
  void planForNewNodes(const FleetLedger &ledger, core::TimePoint now);
  void planForLoad(const FleetLedger &ledger, core::TimePoint now);
  std::vector<MoveCandidate> moveCandidates(const FleetLedger &ledger,
                                            core::TimePoint now) const;
  /// Keys of the own upstream that may be given on.
  std::vector<ReleasedKeys> reassignableKeys(const FleetLedger &ledger,
                                             core::TimePoint now) const;
  void withhold(const FleetLedger &ledger, std::span<const Holding> proposed);
  HoldingChange propose(const FleetLedger &ledger, Rows rows,
                        std::string_view reason) const;
  std::optional<HoldingChange> planChange(const FleetLedger &ledger,
                                          core::TimePoint now) const;
  std::optional<HoldingChange>
  planProcessRestart(const FleetLedger &ledger) const;
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
    /// Utilization by keys that were given to it and don't show yet.
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
  bool HasHeartbeat = false;
  bool Draining = false;
  /// The upstream has said that its present life leaves.
  bool IsProcessLeaving = false;
  /// An upstream that left before the node heard of it, and when.
  std::string LeftUpstreamId;
  core::TimePoint LeftAt{};
  core::TimePoint LastHeartbeatAt{};
  /// Rows of the last grant.
  std::vector<Holding> GrantedRows;
  /// The upstream may hold keys up to it.
  core::TimePoint HeldUntil{};
  std::optional<PendingChange> Pending;
  /// Since when the own upstream has keys that may be given on.
  std::optional<core::TimePoint> ReassignableSince;
  core::TimePoint LastNoticeAt{};
  core::TimePoint NextBatch{};
  core::TimePoint NextMove{};
  KeyedLoad Load;
  std::map<std::string, PeerLoadEstimate, std::less<>> PeerLoads;
};

} // namespace acaciaroad::holdings

#endif
