#include "Holdings/HoldingAgent.h"

#include <algorithm>
#include <utility>

#include "Holdings/KeyPlacement.h"

namespace acaciaroad::holdings {

namespace {

using std::chrono::milliseconds;

/// A third of the lease, so that two lost renewals are borne.
constexpr core::Duration RenewInterval = NodeLease / 3;

/// Between two attempts at a record that has not been read back; several round
/// trips of the log.
constexpr core::Duration RecordRetry = milliseconds(400);

/// An upstream that was silent for so many heartbeats takes no new work.
constexpr int SilentHeartbeats = 3;

/// An upstream that has said that it leaves is gone after it; late heartbeats
/// of it may still come.
constexpr core::Duration LeaveLength = std::chrono::seconds(20);

/// A heartbeat is late after this part of the interval, in percent.
constexpr int LateHeartbeatPercent = 125;

/// Upstreams measure a grant with a clock that may run this much slow.
constexpr int ClockDriftPercent = 2;

/// Heartbeats that a grant lasts; one may be lost. The keys of a lost upstream
/// are waited out for it.
constexpr double GrantHeartbeats = 2.5;

/// A shorter grant is not worth giving: the next heartbeat comes later.
constexpr core::Duration ShortestGrant = milliseconds(100);

/// Time for all upstreams of a fleet that starts to announce themselves before
/// the keys are first divided; more than one heartbeat.
constexpr core::Duration FirstDivisionWait = milliseconds(2500);

/// Each further node of a service waits so much longer before it gives orphaned
/// keys a holder, so that mostly one does.
constexpr core::Duration TurnStep = milliseconds(300);

/// A change without an outcome is proposed anew after it; the log's end
/// decides between the two.
constexpr core::Duration PendingTimeout = milliseconds(1500);

/// Between two planned moves of one node; a move's effect shows within it.
constexpr core::Duration MoveInterval = std::chrono::seconds(2);

/// Loads change within a second; an older one says nothing.
constexpr core::Duration LoadLifetime = milliseconds(1500);

/// Rows of a service, beyond which load moves no more keys: the answer to a
/// heartbeat has room for about a hundred.
constexpr std::size_t MostRows = 160;

/// A member with less than this share of a fair part counts as new.
constexpr double NewcomerShare = 0.25;

/// How long a grant of \p length may last by the clock of this node.
core::Duration withDrift(core::Duration length) {
  return length + length * ClockDriftPercent / 100;
}

} // namespace

HoldingAgent::HoldingAgent(AgentIdentity identity, AgentTiming timing,
                           core::TimePoint started)
    : Identity(std::move(identity)), Timing(timing) {
  // A former incarnation may have granted keys just before it ended.
  HeldUntil = started + withDrift(fullGrant());
}

core::Duration HoldingAgent::fullGrant() const {
  return std::min(std::chrono::duration_cast<core::Duration>(Timing.Heartbeat *
                                                             GrantHeartbeats),
                  Timing.LongestGrant);
}

bool HoldingAgent::heard(const Heartbeat &heartbeat, core::TimePoint now) {
  const bool isSameLife = heartbeat.Life == Life;
  if (isSameLife && HasHeard && heartbeat.Sequence <= HeartbeatSequence)
    return false;
  if (!isSameLife && heartbeat.Life.Born < Life.Born)
    return false;
  if (!isSameLife) {
    Life = heartbeat.Life;
    Leaving.clear();
    Freed.clear();
    LifeLeaves = Life.Id == LeftId && now - LeftAt < LeaveLength;
    // Nothing of a former life is held any more; this one holds nothing, unless
    // a former incarnation of the node granted it keys.
    if (HasHeard)
      HeldUntil = now;
  }
  HasHeard = true;
  HeardAt = now;
  HeartbeatSequence = heartbeat.Sequence;
  Slots = heartbeat.Slots;
  LifeLeaves = LifeLeaves || heartbeat.State == UpstreamState::Leaving;
  State = LifeLeaves ? UpstreamState::Leaving : heartbeat.State;
  noteFreed(heartbeat);
  noteReleased(heartbeat);
  return true;
}

void HoldingAgent::noteFreed(const Heartbeat &heartbeat) {
  for (const FreedKeys &it : heartbeat.Freed)
    Freed.push_back(it);
  // Keys that are held again have a state newer than what was handed over.
  std::erase_if(Freed, [&](const FreedKeys &it) {
    return std::any_of(
        heartbeat.Holds.begin(), heartbeat.Holds.end(),
        [&](const HeldKeys &held) { return held.Keys.intersects(it.Keys); });
  });
}

void HoldingAgent::noteReleased(const Heartbeat &heartbeat) {
  for (Outgoing &it : Leaving) {
    const bool isHeld = std::any_of(
        heartbeat.Holds.begin(), heartbeat.Holds.end(),
        [&](const HeldKeys &held) { return held.Keys.intersects(it.Keys); });
    if (it.Withheld && !isHeld)
      it.Released = true;
  }
}

void HoldingAgent::upstreamLeaves(std::string_view id, core::TimePoint now) {
  if (Life.Id != id) {
    LeftId = id;
    LeftAt = now;
    return;
  }
  LifeLeaves = true;
  State = UpstreamState::Leaving;
}

bool HoldingAgent::upstreamRefused(core::TimePoint now) {
  // A live upstream whose queue is long refuses connections too, but goes on
  // with its heartbeats. Its keys are waited out in any case: a heartbeat may
  // only be late.
  if (State != UpstreamState::Ready ||
      now - HeardAt < Timing.Heartbeat * LateHeartbeatPercent / 100)
    return false;
  State = UpstreamState::Absent;
  return true;
}

bool HoldingAgent::isLifeOver(core::TimePoint now) const {
  return State == UpstreamState::Absent && now >= HeldUntil;
}

bool HoldingAgent::owns(const Holding &row) const {
  return row.Node == Identity.Name && row.Life == Life;
}

bool HoldingAgent::isRevived(const Holding &row) const {
  return row.Node == Identity.Name && HasHeard && !(row.Life == Life) &&
         row.Life.Born <= Life.Born;
}

bool HoldingAgent::mustLetGo(const FleetLedger &ledger) const {
  return State != UpstreamState::Ready || ledger.isOut(Identity.DataCentre);
}

std::optional<Grant> HoldingAgent::grant(const FleetLedger &ledger,
                                         core::TimePoint now) {
  const core::Duration lease =
      (AuthorityUntil - now) * 100 / (100 + ClockDriftPercent);
  const core::Duration length = std::min(fullGrant(), lease);
  if (length < ShortestGrant)
    return std::nullopt;
  std::vector<KeyRange> withheld;
  for (Outgoing &it : Leaving) {
    withheld.push_back(it.Keys);
    it.Withheld = true;
  }
  Grant out;
  out.Length = length;
  for (const Holding &row : ledger.holdingsOf(Identity.Service)) {
    if (!owns(row))
      continue;
    for (const KeyRange &it : subtract(row.Keys, withheld)) {
      out.Rows.push_back(row);
      out.Rows.back().Keys = it;
    }
  }
  HeldUntil = std::max(HeldUntil, now + withDrift(length));
  return out;
}

NodeRecord HoldingAgent::describe() const {
  NodeRecord out;
  out.Name = Identity.Name;
  out.DataCentre = Identity.DataCentre;
  out.Service = Identity.Service;
  out.Peer = Identity.Peer;
  out.Incarnation = Identity.Incarnation;
  out.Life = Life;
  out.State = State;
  out.Slots = Slots;
  return out;
}

std::optional<NodeRecord> HoldingAgent::nextRecord(const FleetLedger &ledger,
                                                   core::TimePoint now) {
  if (State == UpstreamState::Ready &&
      now - HeardAt > Timing.Heartbeat * SilentHeartbeats)
    State = UpstreamState::Absent;
  NodeRecord record = describe();
  const Member *self = ledger.findMember(Identity.Name);
  NodeRecord known = self ? self->Record : NodeRecord();
  known.Sequence = 0;
  const bool isKnown = known == record;
  NodeRecord last = LastRecord;
  last.Sequence = 0;
  const bool isSent = last == record;
  const core::Duration age = now - LastRecordAt;
  const bool isDue =
      isKnown ? age >= RenewInterval : !isSent || age >= RecordRetry;
  if (!isDue)
    return std::nullopt;
  record.Sequence = NextSequence++;
  LastRecord = record;
  LastRecordAt = now;
  return record;
}

void HoldingAgent::recordSent(std::uint64_t sequence, core::TimePoint sent) {
  Sent.push_back({sequence, sent});
}

void HoldingAgent::ledgerChanged(const FleetLedger &ledger,
                                 core::TimePoint now) {
  if (const Member *self = ledger.findMember(Identity.Name);
      self && self->Record.Incarnation == Identity.Incarnation) {
    const std::uint64_t read = self->Record.Sequence;
    for (const SentRecord &it : Sent)
      if (it.Sequence == read)
        AuthorityUntil = std::max(AuthorityUntil, it.Sent + NodeLease);
    std::erase_if(Sent, [&](const auto &it) { return it.Sequence <= read; });
  }
  if (Pending && ledger.end() > Pending->At)
    Pending.reset();
  // Keys that are another's now need not be let go any more.
  const auto rows = ledger.holdingsOf(Identity.Service);
  std::erase_if(Leaving, [&](const Outgoing &it) {
    return std::none_of(rows.begin(), rows.end(), [&](const Holding &row) {
      return owns(row) && row.Keys.intersects(it.Keys);
    });
  });
  watchOrphans(ledger, now);
  planOutgoing(ledger, now);
}

void HoldingAgent::planOutgoing(const FleetLedger &ledger,
                                core::TimePoint now) {
  if (!HasHeard || Draining)
    return;
  if (mustLetGo(ledger)) {
    const auto takers = ledger.eligible(Identity.Service, now);
    if (takers.empty())
      return;
    for (const Holding &row : ledger.holdingsOf(Identity.Service)) {
      if (!owns(row))
        continue;
      std::vector<KeyRange> known;
      for (const Outgoing &it : Leaving)
        known.push_back(it.Keys);
      for (const KeyRange &it : subtract(row.Keys, known))
        Leaving.push_back({it, {}, false, false});
    }
    return;
  }
  planForNewcomer(ledger, now);
  planForLoad(ledger, now);
}

void HoldingAgent::setPeerLoad(std::string_view node, const NodeLoad &load,
                               core::TimePoint now) {
  PeerLoads[std::string(node)] = {load, now};
}

void HoldingAgent::planForLoad(const FleetLedger &ledger, core::TimePoint now) {
  const auto rows = ledger.holdingsOf(Identity.Service);
  if (!Leaving.empty() || now < NextMove || rows.size() > MostRows)
    return;
  std::vector<LoadTaker> takers;
  for (const Member *it : ledger.eligible(Identity.Service, now)) {
    const auto load = PeerLoads.find(it->Record.Name);
    if (it->Record.Name != Identity.Name && load != PeerLoads.end() &&
        now - load->second.At < LoadLifetime)
      takers.push_back({it->Record.Name, load->second.Load});
  }
  std::vector<KeyRange> own;
  for (const Holding &row : rows)
    if (owns(row))
      own.push_back(row.Keys);
  for (const LoadMove &it : planLoadMoves(Load, own, takers)) {
    Leaving.push_back({it.Keys, it.Target, false, false});
    NextMove = now + MoveInterval;
  }
}

void HoldingAgent::planForNewcomer(const FleetLedger &ledger,
                                   core::TimePoint now) {
  if (!Leaving.empty() || now < NextMove)
    return;
  const auto rows = ledger.holdingsOf(Identity.Service);
  const auto takers = ledger.eligible(Identity.Service, now);
  if (rows.empty() || takers.size() < 2)
    return;
  const Key fair = KeyCount / static_cast<Key>(takers.size());
  const Key own = keysOf(rows, Identity.Name);
  if (own <= fair)
    return;
  for (const Member *it : takers) {
    const Key theirs = keysOf(rows, it->Record.Name);
    if (it->Record.Name == Identity.Name || theirs >= fair * NewcomerShare)
      continue;
    Key n = std::min(own - fair, fair - theirs);
    for (const Holding &row : rows) {
      if (n == 0 || !owns(row))
        continue;
      const Key part = std::min(n, row.Keys.size());
      Leaving.push_back({{row.Keys.To - part + 1, row.Keys.To},
                         it->Record.Name,
                         false,
                         false});
      n -= part;
    }
    NextMove = now + MoveInterval;
    return;
  }
}

bool HoldingAgent::wantsChange(const FleetLedger &ledger,
                               core::TimePoint now) const {
  return planChange(ledger, now).has_value();
}

std::optional<HoldingChange>
HoldingAgent::planChange(const FleetLedger &ledger, core::TimePoint now) const {
  const bool isPending = Pending && now - Pending->Since <= PendingTimeout;
  if (isPending || Draining || now >= AuthorityUntil)
    return std::nullopt;
  if (auto out = planOwn(ledger, now))
    return out;
  return planOrphans(ledger, now);
}

std::optional<HoldingChange> HoldingAgent::nextChange(const FleetLedger &ledger,
                                                      core::TimePoint now) {
  auto out = planChange(ledger, now);
  if (!out)
    return std::nullopt;
  withhold(ledger.holdingsOf(Identity.Service), out->Rows);
  Pending = PendingChange{ledger.end(), now};
  return out;
}

HoldingChange HoldingAgent::propose(const FleetLedger &ledger, Rows rows,
                                    std::string_view reason) const {
  normalize(rows);
  return {Identity.Service, std::move(rows), ledger.end(), reason};
}

std::vector<Holding>
HoldingAgent::releasedRows(std::span<const Holding> rows) const {
  std::vector<Holding> out;
  std::vector<KeyRange> done;
  const auto give = [&](const Holding &row, const KeyRange &keys) {
    for (const KeyRange &it : subtract(keys, done)) {
      out.push_back(row);
      out.back().Keys = it;
    }
    done.push_back(keys);
  };
  for (const Holding &row : rows) {
    if (!owns(row))
      continue;
    for (const Outgoing &it : Leaving) {
      if (!it.Released || !it.Keys.intersects(row.Keys))
        continue;
      Holding piece = row;
      piece.Keys = it.Keys.intersection(row.Keys);
      piece.Node = it.Target;
      // What was freed last is the newest state of the keys.
      for (auto freed = Freed.rbegin(); freed != Freed.rend(); ++freed) {
        if (!freed->Keys.intersects(piece.Keys))
          continue;
        piece.Handover = freed->Handover;
        give(piece, freed->Keys.intersection(piece.Keys));
      }
      piece.Handover.clear();
      give(piece, piece.Keys);
    }
  }
  return out;
}

void HoldingAgent::withhold(std::span<const Holding> rows,
                            std::span<const Holding> proposed) {
  // The change may be in the log before this node reads of it.
  std::vector<KeyRange> kept;
  for (const Holding &it : proposed)
    if (owns(it))
      kept.push_back(it.Keys);
  for (const Outgoing &it : Leaving)
    if (it.Withheld)
      kept.push_back(it.Keys);
  for (const Holding &row : rows)
    if (owns(row))
      for (const KeyRange &it : subtract(row.Keys, kept))
        Leaving.push_back({it, {}, true, true});
}

std::optional<HoldingChange> HoldingAgent::planOwn(const FleetLedger &ledger,
                                                   core::TimePoint now) const {
  const auto rows = ledger.holdingsOf(Identity.Service);
  const Fence token = ledger.end() + 1;
  // A new life of the own upstream takes over what the former one held.
  if (State == UpstreamState::Ready && !ledger.isOut(Identity.DataCentre) &&
      std::any_of(rows.begin(), rows.end(),
                  [&](const Holding &it) { return isRevived(it); })) {
    Rows out(rows.begin(), rows.end());
    for (Holding &it : out) {
      if (!isRevived(it))
        continue;
      it.Life = Life;
      it.Token = token;
      it.Handover.clear();
    }
    return propose(ledger, std::move(out), "new life of the upstream");
  }
  Rows released = releasedRows(rows);
  const bool isOver = isLifeOver(now);
  std::vector<KeyRange> gone;
  for (const Holding &it : released)
    gone.push_back(it.Keys);
  for (const Holding &row : rows) {
    const bool isDead = row.Node == Identity.Name && isOver;
    if (!isDead && !(isRevived(row) && mustLetGo(ledger)))
      continue;
    for (const KeyRange &it : subtract(row.Keys, gone)) {
      released.push_back({it, {}, {}, 0, {}});
      gone.push_back(it);
    }
  }
  if (released.empty())
    return std::nullopt;
  const auto takers = ledger.eligible(Identity.Service, now);
  if (takers.empty())
    return std::nullopt;
  Rows out = without(rows, gone);
  Rows open;
  for (Holding &it : released) {
    const auto target =
        std::find_if(takers.begin(), takers.end(), [&](const Member *member) {
          return member->Record.Name == it.Node;
        });
    if (target == takers.end()) {
      open.push_back(std::move(it));
      continue;
    }
    it.Life = (*target)->Record.Life;
    it.Token = token;
    out.push_back(std::move(it));
  }
  for (Holding &it : spread(open, out, takers, token))
    out.push_back(std::move(it));
  return propose(ledger, std::move(out), "keys given on");
}

std::vector<Holding> HoldingAgent::orphans(const FleetLedger &ledger,
                                           std::span<const Holding> rows,
                                           core::TimePoint now) const {
  if (rows.empty())
    return {Holding{}};
  Rows out;
  for (const Holding &it : rows) {
    const Member *owner = ledger.findMember(it.Node);
    if (owner && !owner->isLapsed(now))
      continue;
    // The own node's keys are dealt with by planOwn.
    if (it.Node == Identity.Name)
      continue;
    out.push_back(it);
    out.back().Handover.clear();
  }
  return out;
}

bool HoldingAgent::isMyTurn(std::span<const Member *const> takers,
                            core::TimePoint now) const {
  int rank = 0;
  for (const Member *it : takers) {
    if (it->Record.Name == Identity.Name)
      return OrphansSince && now - *OrphansSince >= TurnStep * rank;
    ++rank;
  }
  return false;
}

void HoldingAgent::watchOrphans(const FleetLedger &ledger,
                                core::TimePoint now) {
  const auto rows = ledger.holdingsOf(Identity.Service);
  if (ledger.eligible(Identity.Service, now).empty()) {
    FirstTakerSince.reset();
    OrphansSince.reset();
    return;
  }
  if (!FirstTakerSince)
    FirstTakerSince = now;
  if (orphans(ledger, rows, now).empty())
    OrphansSince.reset();
  else if (!OrphansSince)
    OrphansSince = now;
}

std::optional<HoldingChange>
HoldingAgent::planOrphans(const FleetLedger &ledger,
                          core::TimePoint now) const {
  const auto rows = ledger.holdingsOf(Identity.Service);
  const auto takers = ledger.eligible(Identity.Service, now);
  const bool isEarly =
      rows.empty() &&
      (!FirstTakerSince || now - *FirstTakerSince < FirstDivisionWait);
  if (isEarly || !isMyTurn(takers, now))
    return std::nullopt;
  const Rows open = orphans(ledger, rows, now);
  if (open.empty())
    return std::nullopt;
  std::vector<KeyRange> gone;
  for (const Holding &it : open)
    gone.push_back(it.Keys);
  Rows out = without(rows, gone);
  for (Holding &it : spread(open, out, takers, ledger.end() + 1))
    out.push_back(std::move(it));
  return propose(ledger, std::move(out),
                 rows.empty() ? "first division" : "holder lost");
}

void HoldingAgent::changeEnded(ChangeEnd end, core::TimePoint now) {
  if (!Pending)
    return;
  if (end == ChangeEnd::Refused)
    Pending.reset();
  else
    Pending->Since = now;
}

bool HoldingAgent::awaitsChange(const FleetLedger &ledger) const {
  if (!HasHeard || State != UpstreamState::Ready)
    return false;
  const auto rows = ledger.holdingsOf(Identity.Service);
  return std::any_of(rows.begin(), rows.end(),
                     [&](const Holding &it) { return isRevived(it); });
}

} // namespace acaciaroad::holdings
