#include "Holdings/HoldingAgent.h"

#include <algorithm>
#include <utility>

#include "Holdings/KeyPlacement.h"

namespace acaciaroad::holdings {

namespace {

using std::chrono::milliseconds;

/// An upstream counts as absent, and gets no new work, after missing this many
/// heartbeats.
constexpr int MaxMissedHeartbeats = 3;

/// How long a node remembers the announced shutdown of an upstream that it has
/// no heartbeat of yet. Late heartbeats may still arrive; after this time, the
/// upstream has ended.
constexpr core::Duration LeavingRetention = std::chrono::seconds(20);

/// A heartbeat is late after this percentage of the interval.
constexpr int LateHeartbeatPercent = 125;

/// Maximum drift of an upstream's clock, which measures the length of a grant,
/// in percent.
constexpr int ClockDriftPercent = 2;

/// Length of a grant in heartbeat intervals, which tolerates one lost
/// heartbeat. It is also the time before the keys of a lost upstream can be
/// reassigned.
constexpr double GrantHeartbeats = 2.5;

/// Delay of the answer to a heartbeat, in percent of the interval. A grant must
/// outlast one lost heartbeat and this delay.
constexpr int AnswerDelayPercent = 35;

/// Delay of the answer to an upstream that has restarted, so that the answer
/// can include its keys: their reassignment takes two round trips to the log.
/// The upstream waits at most one second for an answer.
constexpr core::Duration RestartAnswerDelay = milliseconds(300);

/// Shorter grants would expire long before the next heartbeat.
constexpr core::Duration MinGrant = milliseconds(100);

/// A node reassigns its released keys itself if the coordinator hasn't done so
/// within this time.
constexpr core::Duration CoordinatorTimeout = milliseconds(800);

/// Interval between notices to the coordinator. They repeat the same keys,
/// which makes up for lost datagrams.
constexpr core::Duration NoticeInterval = milliseconds(100);

/// Maximum number of rows in a notice, which must fit into one datagram.
constexpr std::size_t MaxNoticeRows = 10;

/// Interval between changes that reassign released keys, so that one change
/// covers several releases.
constexpr core::Duration BatchInterval = milliseconds(100);

/// Time after which a change without a known outcome is proposed again. Both
/// are conditional on the end of the log, so at most one of them is appended.
constexpr core::Duration PendingTimeout = milliseconds(1500);

/// Bounds of the pause after a refused proposal. The shortest one covers a
/// proposal of another node.
constexpr core::Duration ShortestProposalPause = milliseconds(40);
constexpr core::Duration LongestProposalPause = milliseconds(640);

/// Interval between planned moves of one node, in which the effect of a move
/// becomes visible.
constexpr core::Duration MoveInterval = std::chrono::seconds(1);

/// Older load reports are ignored, because loads change within a second.
constexpr core::Duration LoadLifetime = milliseconds(1500);

/// Load moves neither add keys to nor take keys from a node with more rows than
/// this: the answer to a heartbeat has room for about a hundred.
constexpr std::size_t MaxRowsPerNode = 60;

/// Number of nodes that each give one range of keys to a node without keys. Few
/// ranges are easier to move again.
constexpr Key DonorsPerNewNode = 4;

/// Time until moved keys show in the reported load of their new holder.
constexpr core::Duration PendingLoadLifetime = std::chrono::seconds(2);

/// Returns how long a grant of \p length may last on this node's clock.
core::Duration withDrift(core::Duration length) {
  return length + length * ClockDriftPercent / 100;
}

} // namespace

HoldingAgent::HoldingAgent(AgentIdentity identity, AgentTiming timing,
                           core::TimePoint started)
    : Identity(std::move(identity)), Timing(timing),
      ProposalPauses(ShortestProposalPause, LongestProposalPause,
                     core::hashOf(Identity.Name)) {
  // The previous incarnation of the node may have granted keys just before it
  // ended.
  HeldUntil = started + withDrift(grantLength());
}

core::Duration HoldingAgent::grantLength() const {
  return std::min(std::chrono::duration_cast<core::Duration>(Timing.Heartbeat *
                                                             GrantHeartbeats),
                  Timing.LongestGrant);
}

bool HoldingAgent::acceptHeartbeat(const Heartbeat &heartbeat,
                                   core::TimePoint now) {
  const bool isSameProcess = heartbeat.Process == Process;
  if (isSameProcess && HasHeartbeat && heartbeat.Sequence <= HeartbeatSequence)
    return false;
  if (!isSameProcess && (heartbeat.Process.StartUnixMs < Process.StartUnixMs ||
                         isBeforeLeft(heartbeat.Process, now)))
    return false;
  if (!isSameProcess) {
    Process = heartbeat.Process;
    GrantedRows.clear();
    // What was given up before the first heartbeat stays withheld.
    if (HasHeartbeat)
      Release.clear();
    IsProcessLeaving = Process == Left || (Process.Id == LeftUpstreamId &&
                                           now - LeftAt < LeavingRetention);
    // The new process holds no keys, unless a previous incarnation of the node
    // granted them.
    FormerHeldUntil = std::max(FormerHeldUntil, HeldUntil);
    if (HasHeartbeat)
      HeldUntil = now;
  }
  HasHeartbeat = true;
  LastHeartbeatAt = now;
  HeartbeatSequence = heartbeat.Sequence;
  Slots = heartbeat.Slots;
  Version = heartbeat.Version;
  IsProcessLeaving =
      IsProcessLeaving || heartbeat.State == UpstreamState::Leaving;
  State = IsProcessLeaving ? UpstreamState::Leaving : heartbeat.State;
  Release.applyHeartbeat(heartbeat);
  return true;
}

bool HoldingAgent::isBeforeLeft(const UpstreamProcess &process,
                                core::TimePoint now) const {
  return Left.isKnown() && process.StartUnixMs < Left.StartUnixMs &&
         now - LeftReadAt < LeavingRetention;
}

void HoldingAgent::resume(const NodeRecord &former, core::TimePoint now) {
  if (former.State != UpstreamState::Leaving || former.Process == Left)
    return;
  Left = former.Process;
  LeftReadAt = now;
  // Its heartbeat may have come before the log was read.
  if (!HasHeartbeat || !(Process == Left || isBeforeLeft(Process, now)))
    return;
  IsProcessLeaving = true;
  State = UpstreamState::Leaving;
}

void HoldingAgent::upstreamLeaves(std::string_view id, core::TimePoint now) {
  if (Process.Id != id) {
    LeftUpstreamId = id;
    LeftAt = now;
    return;
  }
  IsProcessLeaving = true;
  State = UpstreamState::Leaving;
}

bool HoldingAgent::isLeaveRecorded(std::string_view id,
                                   const FleetLedger &ledger) const {
  if (Process.Id != id)
    return true;
  const auto isLeave = [&](const NodeRecord *it) {
    return it != nullptr && it->State == UpstreamState::Leaving &&
           it->Process == Process;
  };
  const Member *self = ledger.findMember(Identity.Name);
  return isLeave(Lease.acknowledgedRecord()) ||
         isLeave(self ? &self->Record : nullptr);
}

bool HoldingAgent::upstreamRefused(core::TimePoint now) {
  // A live upstream with a full queue refuses connections too but keeps sending
  // heartbeats. Its keys aren't reassigned before its grant expires, because
  // the heartbeat may only be late.
  if (State != UpstreamState::Ready ||
      now - LastHeartbeatAt < Timing.Heartbeat * LateHeartbeatPercent / 100)
    return false;
  State = UpstreamState::Absent;
  return true;
}

bool HoldingAgent::isHoldOver(const Holding &row, core::TimePoint now) const {
  return now >= (owns(row) ? HeldUntil : FormerHeldUntil);
}

bool HoldingAgent::isHeldByEarlierLife(const Holding &row) const {
  return isHeldByFormerProcess(row) && row.Process.Id == Process.Id;
}

bool HoldingAgent::owns(const Holding &row) const {
  // Before the first heartbeat, the upstream may be the process in the log.
  return row.Node == Identity.Name && (row.Process == Process || !HasHeartbeat);
}

std::vector<Holding>
HoldingAgent::ownHoldings(const FleetLedger &ledger) const {
  std::vector<Holding> out;
  for (const Holding &it : ledger.holdingsOf(Identity.Service))
    if (owns(it))
      out.push_back(it);
  if (!hasPendingClaim(ledger))
    return out;
  std::vector<KeyRange> assigned;
  for (const Holding &it : ledger.holdingsOf(Identity.Service))
    assigned.push_back(it.Keys);
  for (Holding &it : without(ClaimedRows, assigned))
    if (owns(it))
      out.push_back(std::move(it));
  return out;
}

void HoldingAgent::enterEra(const FleetLedger &ledger, core::TimePoint now) {
  ClaimedRows = claimableRows(ownHoldings(ledger), Release.withheld(),
                              Lease.authorityUntil(), now);
  Lease.enterEra(now);
  Pending.reset();
}

bool HoldingAgent::hasPendingClaim(const FleetLedger &ledger) const {
  return !ClaimedRows.empty() &&
         !ledger.hasClaimOf(Identity.Name, Identity.Service);
}

std::optional<HoldingClaim>
HoldingAgent::pendingClaim(const FleetLedger &ledger) const {
  if (!hasPendingClaim(ledger))
    return std::nullopt;
  return HoldingClaim{Identity.Name, Identity.Service, ClaimedRows};
}

bool HoldingAgent::isHeldByFormerProcess(const Holding &row) const {
  return row.Node == Identity.Name && HasHeartbeat &&
         !(row.Process == Process) &&
         row.Process.StartUnixMs <= Process.StartUnixMs;
}

bool HoldingAgent::mustReleaseKeys(const FleetLedger &ledger) const {
  return State != UpstreamState::Ready ||
         ledger.isDataCentreOut(Identity.DataCentre);
}

std::optional<Grant> HoldingAgent::grant(const FleetLedger &ledger,
                                         core::TimePoint now) {
  const core::Duration lease =
      (Lease.authorityUntil() - now) * 100 / (100 + ClockDriftPercent);
  const core::Duration length = std::min(grantLength(), lease);
  if (length < MinGrant)
    return std::nullopt;
  Release.granted();
  Grant out;
  out.Length = length;
  out.Rows = without(ownHoldings(ledger), Release.ranges());
  GrantedRows = out.Rows;
  HeldUntil = std::max(HeldUntil, now + withDrift(length));
  return out;
}

std::optional<Grant> HoldingAgent::grantTo(const UpstreamProcess &process,
                                           const FleetLedger &ledger,
                                           core::TimePoint now) {
  if (!(process == Process))
    return std::nullopt;
  return grant(ledger, now);
}

NodeRecord HoldingAgent::describe() const {
  NodeRecord out;
  out.Name = Identity.Name;
  out.DataCentre = Identity.DataCentre;
  out.Service = Identity.Service;
  out.Peer = Identity.Peer;
  out.Incarnation = Identity.Incarnation;
  out.Process = Process;
  out.State = State;
  out.Slots = Slots;
  out.IsStopping = Draining;
  out.Version = Version;
  // The next incarnation has to read it again.
  if (!HasHeartbeat && Left.isKnown()) {
    out.Process = Left;
    out.State = UpstreamState::Leaving;
  }
  return out;
}

std::optional<NodeRecord> HoldingAgent::nextRecord(const FleetLedger &ledger,
                                                   bool isKeyless,
                                                   core::TimePoint now) {
  if (State == UpstreamState::Ready &&
      now - LastHeartbeatAt > Timing.Heartbeat * MaxMissedHeartbeats)
    State = UpstreamState::Absent;
  return Lease.next(describe(), ledger, isKeyless, now);
}

void HoldingAgent::ledgerChanged(const FleetLedger &ledger,
                                 core::TimePoint now) {
  const Member *self = ledger.findMember(Identity.Name);
  Lease.ledgerChanged(self ? &self->Record : nullptr, Identity.Incarnation);
  if (self && self->Record.Incarnation != Identity.Incarnation)
    resume(self->Record, now);
  if (Pending && ledger.end() > Pending->At)
    Pending.reset();
  // Keys that were reassigned need not be released any more.
  Release.keepOnly(ownHoldings(ledger));
  Orphans.update(ledger, Identity.Service, Identity.Name, now);
  planOutgoing(ledger, now);
  if (reassignableKeys(ledger, now).empty())
    ReassignableSince.reset();
  else if (!ReassignableSince)
    ReassignableSince = now;
}

void HoldingAgent::planOutgoing(const FleetLedger &ledger,
                                core::TimePoint now) {
  if (!HasHeartbeat || Draining)
    return;
  if (mustReleaseKeys(ledger)) {
    const auto candidates = ledger.eligible(Identity.Service, now);
    if (candidates.empty())
      return;
    for (const Holding &row : without(ownHoldings(ledger), Release.ranges()))
      Release.plan(row, {});
    return;
  }
  // Nodes whose claims aren't read yet seem to have no keys.
  if (ledger.assignableKeys(Identity.Service, now) != AssignableKeys::All)
    return;
  planForNewNodes(ledger, now);
  planForLoad(ledger, now);
}

void HoldingAgent::setPeerLoad(std::string_view node, const NodeLoad &load,
                               core::TimePoint now) {
  std::erase_if(PeerLoads, [&](const auto &it) {
    return now - it.second.At > LoadLifetime && now >= it.second.PendingUntil;
  });
  PeerLoadEstimate &known = PeerLoads[std::string(node)];
  known.Load = load;
  known.At = now;
  if (now >= known.PendingUntil)
    known.PendingUtilization = 0;
}

double HoldingAgent::typicalCost(core::TimePoint now) const {
  std::vector<double> costs;
  for (const auto &[node, it] : PeerLoads)
    if (it.Load.Cost > 0 && now - it.At < LoadLifetime)
      costs.push_back(it.Load.Cost);
  if (costs.empty())
    return 0;
  const auto middle =
      costs.begin() + static_cast<std::ptrdiff_t>(costs.size() / 2);
  std::nth_element(costs.begin(), middle, costs.end());
  return *middle;
}

std::vector<MoveCandidate>
HoldingAgent::moveCandidates(const FleetLedger &ledger,
                             core::TimePoint now) const {
  std::map<std::string_view, std::size_t> rows;
  for (const Holding &it : ledger.holdingsOf(Identity.Service))
    ++rows[it.Node];
  std::vector<MoveCandidate> out;
  for (const Member *it : ledger.eligible(Identity.Service, now)) {
    const std::string &name = it->Record.Name;
    const auto load = PeerLoads.find(name);
    if (name != Identity.Name && load != PeerLoads.end() &&
        now - load->second.At < LoadLifetime && rows[name] < MaxRowsPerNode) {
      out.push_back({name, load->second.Load});
      out.back().Load.Utilization += load->second.PendingUtilization;
    }
  }
  return out;
}

void HoldingAgent::planForLoad(const FleetLedger &ledger, core::TimePoint now) {
  if (now < NextMove || !isOverloaded(Load.Node))
    return;
  const auto rows = without(ownHoldings(ledger), Release.ranges());
  if (rows.size() > MaxRowsPerNode)
    return;
  std::vector<KeyRange> own;
  own.reserve(rows.size());
  for (const Holding &it : rows)
    own.push_back(it.Keys);
  for (const LoadMove &move :
       planLoadMoves(Load, own, moveCandidates(ledger, now))) {
    for (Holding it : rows) {
      if (!it.Keys.contains(move.Keys))
        continue;
      it.Keys = move.Keys;
      Release.plan(it, move.Target);
    }
    PeerLoadEstimate &target = PeerLoads[move.Target];
    target.PendingUtilization += move.AddedUtilization;
    target.PendingUntil = now + PendingLoadLifetime;
    NextMove = now + MoveInterval;
  }
}

void HoldingAgent::planForNewNodes(const FleetLedger &ledger,
                                   core::TimePoint now) {
  if (!Release.isIdle() || now < NextMove)
    return;
  std::map<std::string_view, Key> held;
  for (const Holding &it : ledger.holdingsOf(Identity.Service))
    held[it.Node] += it.Keys.size();
  const auto candidates = ledger.eligible(Identity.Service, now);
  std::vector<const Member *> newNodes;
  // Sorted by number of keys, highest first.
  std::vector<std::pair<Key, std::string_view>> owners;
  for (const Member *it : candidates) {
    const auto keys = held.find(it->Record.Name);
    if (keys == held.end())
      newNodes.push_back(it);
    else
      owners.emplace_back(KeyCount - keys->second, it->Record.Name);
  }
  if (newNodes.empty() || owners.empty())
    return;
  std::sort(owners.begin(), owners.end());
  const auto self =
      std::find_if(owners.begin(), owners.end(),
                   [&](const auto &it) { return it.second == Identity.Name; });
  if (self == owners.end())
    return;
  const auto rank = static_cast<std::size_t>(self - owners.begin());
  const std::size_t newNodeIndex = rank / DonorsPerNewNode;
  if (newNodeIndex >= newNodes.size())
    return;
  const Key fairShare = KeyCount / static_cast<Key>(candidates.size());
  Key n =
      std::min<Key>(fairShare / DonorsPerNewNode, (KeyCount - self->first) / 2);
  for (const Holding &row : ownHoldings(ledger)) {
    if (n == 0)
      break;
    Holding piece = row;
    const Key part = std::min(n, row.Keys.size());
    piece.Keys.From = row.Keys.To - part + 1;
    Release.plan(piece, newNodes[newNodeIndex]->Record.Name);
    n -= part;
  }
  NextMove = now + MoveInterval;
}

bool HoldingAgent::hasChangeToPropose(const FleetLedger &ledger,
                                      core::TimePoint now) const {
  return planChange(ledger, now).has_value();
}

std::optional<HoldingChange>
HoldingAgent::planChange(const FleetLedger &ledger, core::TimePoint now) const {
  const bool isPending = Pending && now - Pending->Since <= PendingTimeout;
  if (isPending || Draining || now >= Lease.authorityUntil() ||
      now < NextProposal)
    return std::nullopt;
  const AssignableKeys keys = ledger.assignableKeys(Identity.Service, now);
  if (keys == AssignableKeys::None)
    return std::nullopt;
  if (keys == AssignableKeys::Orphans)
    return planOrphans(ledger, now);
  if (auto out = planProcessRestart(ledger, now))
    return out;
  if (auto out = planReleased(ledger, now))
    return out;
  return planOrphans(ledger, now);
}

std::optional<HoldingChange> HoldingAgent::nextChange(const FleetLedger &ledger,
                                                      core::TimePoint now) {
  auto out = planChange(ledger, now);
  if (!out)
    return std::nullopt;
  out->Parts = changedParts(ledger.holdingsOf(Identity.Service), out->Rows);
  withhold(ledger, out->Rows);
  Pending = PendingChange{ledger.end(), now};
  return out;
}

HoldingChange HoldingAgent::propose(const FleetLedger &ledger, Rows rows,
                                    std::string_view reason,
                                    std::vector<ReleasedKeys> freed) const {
  normalize(rows);
  return {Identity.Service, std::move(rows), {},
          ledger.end(),     reason,          std::move(freed)};
}

void HoldingAgent::withhold(const FleetLedger &ledger,
                            std::span<const Holding> proposed) {
  // The change may be in the log before this node has read it, so the keys that
  // it takes away must not be granted from now on.
  std::vector<KeyRange> kept = Release.withheld();
  for (const Holding &it : proposed)
    if (owns(it))
      kept.push_back(it.Keys);
  for (const Holding &it : without(ownHoldings(ledger), kept))
    Release.withhold(it);
}

std::optional<HoldingChange>
HoldingAgent::planProcessRestart(const FleetLedger &ledger,
                                 core::TimePoint now) const {
  const auto rows = ledger.holdingsOf(Identity.Service);
  if (mustReleaseKeys(ledger))
    return std::nullopt;
  Rows out(rows.begin(), rows.end());
  std::vector<ReleasedKeys> freed;
  for (Holding &it : out) {
    if (!isHeldByFormerProcess(it) ||
        !(isHeldByEarlierLife(it) || isHoldOver(it, now)))
      continue;
    freed.push_back({it, Identity.Name, FreeCause::FormerProcess});
    it.Process = Process;
    it.Token = ledger.nextToken();
    it.Handover.clear();
  }
  if (freed.empty())
    return std::nullopt;
  return propose(ledger, std::move(out), "upstream restarted",
                 std::move(freed));
}

std::vector<ReleasedKeys>
HoldingAgent::reassignableKeys(const FleetLedger &ledger,
                               core::TimePoint now) const {
  std::vector<ReleasedKeys> out = Release.released(ownHoldings(ledger));
  std::vector<KeyRange> known;
  known.reserve(out.size());
  for (const ReleasedKeys &it : out)
    known.push_back(it.Row.Keys);
  for (const Holding &row : ledger.holdingsOf(Identity.Service)) {
    const bool isGone =
        row.Node == Identity.Name && State == UpstreamState::Absent;
    const bool isFormer = isHeldByFormerProcess(row) && mustReleaseKeys(ledger);
    if (!(isGone || isFormer) || !isHoldOver(row, now))
      continue;
    for (Holding &it : without({{row}}, known)) {
      it.Handover.clear();
      out.push_back(
          {std::move(it),
           {},
           isGone ? FreeCause::UpstreamGone : FreeCause::FormerProcess});
    }
  }
  return out;
}

std::optional<AddressedNotice>
HoldingAgent::nextNotice(const FleetLedger &ledger, core::TimePoint now) {
  if (!ReassignableSince || Draining) {
    NoticeRow = 0;
    return std::nullopt;
  }
  if (NoticeRow == 0 && now - LastNoticeAt < NoticeInterval)
    return std::nullopt;
  const auto candidates = ledger.eligible(Identity.Service, now);
  if (candidates.empty() || candidates.front()->Record.Name == Identity.Name)
    return std::nullopt;
  AddressedNotice out{
      candidates.front()->Record.Name,
      {Identity.Name, Identity.Incarnation, reassignableKeys(ledger, now)}};
  auto &keys = out.Notice.Keys;
  keys.erase(keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(std::min(
                                              NoticeRow, keys.size())));
  NoticeRow = keys.size() > MaxNoticeRows ? NoticeRow + MaxNoticeRows : 0;
  if (keys.size() > MaxNoticeRows)
    keys.resize(MaxNoticeRows);
  // The coordinator may assign these keys to other nodes from now on.
  for (const ReleasedKeys &it : out.Notice.Keys)
    if (owns(it.Row))
      for (const Holding &piece : without({{it.Row}}, Release.withheld()))
        Release.withhold(piece);
  LastNoticeAt = now;
  return out;
}

std::optional<HoldingChange>
HoldingAgent::planReleased(const FleetLedger &ledger,
                           core::TimePoint now) const {
  const auto candidates = ledger.eligible(Identity.Service, now);
  if (candidates.empty() || now < NextBatch)
    return std::nullopt;
  const bool isCoordinator = candidates.front()->Record.Name == Identity.Name;
  const bool isOverdue =
      ReassignableSince && now - *ReassignableSince >= CoordinatorTimeout;
  std::vector<ReleasedKeys> free;
  if (isCoordinator || isOverdue)
    free = reassignableKeys(ledger, now);
  if (isCoordinator)
    for (ReleasedKeys &it : Inbox.valid(ledger, Identity.Service, now))
      free.push_back(std::move(it));
  if (free.empty())
    return std::nullopt;
  const FencingToken token = ledger.nextToken();
  std::vector<KeyRange> gone;
  Rows given;
  Rows open;
  for (const ReleasedKeys &it : free) {
    const auto target = std::find_if(
        candidates.begin(), candidates.end(),
        [&](const Member *member) { return member->Record.Name == it.Target; });
    for (const KeyRange &keys : subtract(it.Row.Keys, gone)) {
      Holding piece{keys, {}, {}, token, it.Row.Handover};
      if (target == candidates.end()) {
        open.push_back(std::move(piece));
        continue;
      }
      piece.Node = (*target)->Record.Name;
      piece.Process = (*target)->Record.Process;
      given.push_back(std::move(piece));
    }
    gone.push_back(it.Row.Keys);
  }
  Rows out = without(ledger.holdingsOf(Identity.Service), gone);
  out.insert(out.end(), given.begin(), given.end());
  for (Holding &it : distributeKeys(open, out, candidates, token))
    out.push_back(std::move(it));
  return propose(ledger, std::move(out), "released keys reassigned",
                 std::move(free));
}

std::optional<HoldingChange>
HoldingAgent::planOrphans(const FleetLedger &ledger,
                          core::TimePoint now) const {
  if (!Orphans.isTurn(ledger, Identity.Service, Identity.Name, now))
    return std::nullopt;
  const Rows open = findOrphans(ledger, Identity.Service, Identity.Name, now);
  if (open.empty())
    return std::nullopt;
  const auto rows = ledger.holdingsOf(Identity.Service);
  std::vector<KeyRange> gone;
  std::vector<ReleasedKeys> freed;
  for (const Holding &it : open) {
    gone.push_back(it.Keys);
    freed.push_back({it, {}, FreeCause::NoHolder});
  }
  Rows out = without(rows, gone);
  const auto candidates = ledger.eligible(Identity.Service, now);
  for (Holding &it : distributeKeys(open, out, candidates, ledger.nextToken()))
    out.push_back(std::move(it));
  return propose(ledger, std::move(out),
                 rows.empty() ? "initial assignment" : "holder lost",
                 std::move(freed));
}

void HoldingAgent::changeCompleted(ChangeOutcome outcome, core::TimePoint now) {
  if (!Pending)
    return;
  if (outcome == ChangeOutcome::Refused) {
    Pending.reset();
    // The first one is repeated at once: the lease renewal of another node may
    // have refused it by chance.
    if (std::exchange(WasRefused, true))
      NextProposal = now + ProposalPauses.next();
    return;
  }
  WasRefused = false;
  ProposalPauses.reset();
  Pending->Since = now;
  NextBatch = now + BatchInterval;
}

void HoldingAgent::proposalReadFailed(core::TimePoint now) {
  NextProposal = now + ProposalPauses.next();
}

core::Duration HoldingAgent::answerDelay(const FleetLedger &ledger) const {
  if (!HasHeartbeat || State != UpstreamState::Ready || !Release.isIdle())
    return {};
  const auto rows = ledger.holdingsOf(Identity.Service);
  const bool isRestart =
      std::any_of(rows.begin(), rows.end(),
                  [&](const Holding &it) { return isHeldByEarlierLife(it); });
  if (isRestart)
    return RestartAnswerDelay;
  return ownHoldings(ledger) == GrantedRows
             ? Timing.Heartbeat * AnswerDelayPercent / 100
             : core::Duration{};
}

} // namespace acaciaroad::holdings
