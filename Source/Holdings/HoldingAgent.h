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
#include <vector>

#include "Core/Clock.h"
#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingTypes.h"
#include "Holdings/LoadMove.h"

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

/// New rows for all keys of a service, valid only at one end of the log.
struct HoldingChange {
  std::string Service;
  std::vector<Holding> Rows;
  core::Offset At = 0;
  /// Why, for the log.
  std::string_view Reason;
};

/// How an appended change ended.
enum class ChangeEnd : std::uint8_t {
  Appended,
  /// The log has gone on; nothing was appended.
  Refused,
  /// No answer came; the record may still be appended at its place.
  Unknown,
};

/// Grants keys to the own upstream within the node's lease, lets keys go that
/// move away, and proposes new holders. Only a record in the log changes a
/// holder. A pure aggregate: the caller appends what it proposes, and feeds the
/// ledger.
class HoldingAgent {
public:
  HoldingAgent(AgentIdentity identity, AgentTiming timing,
               core::TimePoint started);

  /// Takes a heartbeat. Returns false for one that is older than what is known,
  /// which is acknowledged and not used.
  bool heard(const Heartbeat &heartbeat, core::TimePoint now);

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
  /// called once for each heartbeat that `heard` has taken.
  std::optional<Grant> grant(const FleetLedger &ledger, core::TimePoint now);

  /// Returns the node's record if it is to be appended now.
  std::optional<NodeRecord> nextRecord(const FleetLedger &ledger,
                                       core::TimePoint now);

  /// The record was appended; its lease counts from \p sent once it is read.
  void recordSent(std::uint64_t sequence, core::TimePoint sent);

  /// Whether `nextChange` has something to propose, on the records read so far.
  bool wantsChange(const FleetLedger &ledger, core::TimePoint now) const;

  /// Returns a change to append now.
  std::optional<HoldingChange> nextChange(const FleetLedger &ledger,
                                          core::TimePoint now);
  void changeEnded(ChangeEnd end, core::TimePoint now);

  /// To be called after the ledger has read on.
  void ledgerChanged(const FleetLedger &ledger, core::TimePoint now);

  /// Whether the heartbeat is worth delaying for a change that is under way.
  bool awaitsChange(const FleetLedger &ledger) const;

  const UpstreamLife &life() const { return Life; }
  UpstreamState state() const { return State; }
  core::TimePoint authorityUntil() const { return AuthorityUntil; }

private:
  using Rows = std::vector<Holding>;

  core::Duration fullGrant() const;
  bool owns(const Holding &row) const;
  bool isRevived(const Holding &row) const;
  bool mustLetGo(const FleetLedger &ledger) const;
  bool isLifeOver(core::TimePoint now) const;
  void planOutgoing(const FleetLedger &ledger, core::TimePoint now);
  void planForNewcomer(const FleetLedger &ledger, core::TimePoint now);
  void planForLoad(const FleetLedger &ledger, core::TimePoint now);
  void noteReleased(const Heartbeat &heartbeat);
  void noteFreed(const Heartbeat &heartbeat);
  void withhold(std::span<const Holding> rows,
                std::span<const Holding> proposed);
  std::vector<Holding> releasedRows(std::span<const Holding> rows) const;
  std::vector<Holding> orphans(const FleetLedger &ledger,
                               std::span<const Holding> rows,
                               core::TimePoint now) const;
  bool isMyTurn(std::span<const Member *const> takers,
                core::TimePoint now) const;
  void watchOrphans(const FleetLedger &ledger, core::TimePoint now);
  HoldingChange propose(const FleetLedger &ledger, Rows rows,
                        std::string_view reason) const;
  std::optional<HoldingChange> planChange(const FleetLedger &ledger,
                                          core::TimePoint now) const;
  std::optional<HoldingChange> planOwn(const FleetLedger &ledger,
                                       core::TimePoint now) const;
  std::optional<HoldingChange> planOrphans(const FleetLedger &ledger,
                                           core::TimePoint now) const;
  NodeRecord describe() const;

  /// A change that was proposed and whose outcome isn't read yet.
  struct PendingChange {
    core::Offset At = 0;
    core::TimePoint Since{};
  };
  /// Keys that the upstream is to let go.
  struct Outgoing {
    KeyRange Keys;
    /// Whom they go to; empty for whoever has the fewest.
    std::string Target;
    /// A grant without them has been given.
    bool Withheld = false;
    bool Released = false;
  };
  struct KnownLoad {
    NodeLoad Load;
    core::TimePoint At{};
  };
  struct SentRecord {
    std::uint64_t Sequence = 0;
    core::TimePoint Sent{};
  };

  AgentIdentity Identity;
  AgentTiming Timing;
  UpstreamLife Life;
  UpstreamState State = UpstreamState::Absent;
  std::uint64_t HeartbeatSequence = 0;
  std::uint32_t Slots = 0;
  bool HasHeard = false;
  bool Draining = false;
  /// The upstream has said that its present life leaves.
  bool LifeLeaves = false;
  /// An upstream that left before the node heard of it, and when.
  std::string LeftId;
  core::TimePoint LeftAt{};
  core::TimePoint HeardAt{};
  /// The upstream may hold keys up to it.
  core::TimePoint HeldUntil{};
  core::TimePoint AuthorityUntil{};
  std::vector<Outgoing> Leaving;
  std::vector<FreedKeys> Freed;
  std::vector<SentRecord> Sent;
  std::uint64_t NextSequence = 1;
  NodeRecord LastRecord;
  core::TimePoint LastRecordAt{};
  std::optional<PendingChange> Pending;
  std::optional<core::TimePoint> OrphansSince;
  std::optional<core::TimePoint> FirstTakerSince;
  core::TimePoint NextMove{};
  KeyedLoad Load;
  std::map<std::string, KnownLoad, std::less<>> PeerLoads;
};

} // namespace acaciaroad::holdings

#endif
