#include "Ownership/OwnershipAgent.h"

#include <algorithm>
#include <limits>
#include <type_traits>
#include <utility>

#include "Ownership/WitnessPolicy.h"

namespace acaciaroad::ownership {

namespace {

using core::Duration;
using core::ErrorKind;
using core::fail;
using core::InstanceId;
using core::TimePoint;

bool contains(std::span<const InstanceId> list, InstanceId id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

bool haveSameMembers(std::span<const InstanceId> a,
                     std::span<const InstanceId> b) {
  return a.size() == b.size() &&
         std::all_of(a.begin(), a.end(),
                     [b](InstanceId it) { return contains(b, it); });
}

std::uint32_t toMilliseconds(Duration length) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
  constexpr std::int64_t Most = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, Most));
}

} // namespace

core::Result<std::unique_ptr<OwnershipAgent>>
OwnershipAgent::create(AgentOptions options, InstanceInfo info,
                       AgentHooks hooks) {
  if (!info.Id || !hooks.Send || !hooks.Append || !hooks.Changed)
    return fail(ErrorKind::InvalidArgument,
                "the instance id is 0 or a required hook is missing");
  if (options.Lease.RenewInterval <= Duration::zero() ||
      options.Lease.Length < 2 * options.Lease.RenewInterval)
    return fail(
        ErrorKind::InvalidArgument,
        "the renew interval is not positive or the lease is shorter than two");
  return std::unique_ptr<OwnershipAgent>(
      new OwnershipAgent(options, std::move(info), std::move(hooks)));
}

OwnershipAgent::OwnershipAgent(AgentOptions options, InstanceInfo info,
                               AgentHooks hooks)
    : Options(options), Info(std::move(info)), Hooks(std::move(hooks)),
      Holder(options.Lease, options.InjectedFaults),
      Witness(options.Lease, options.InjectedFaults), Lapses(options.Lease),
      Slices(Info.Id, options.AppendRetry, options.InjectedFaults),
      Detector(options.Detector) {
  if (Options.InjectedFaults.Chain)
    Map.injectChainFaultForTest();
}

core::Result<void> OwnershipAgent::restore(const FleetSnapshot &from) {
  auto map = FleetMap::fromSnapshot(from);
  if (!map)
    return tl::unexpected(map.error());
  Map = std::move(*map);
  markChanged();
  return {};
}

void OwnershipAgent::describe(std::string_view service, bool checksGrants) {
  if (State != Phase::Idle)
    return;
  Info.Service = service;
  Info.ChecksGrants = checksGrants;
}

void OwnershipAgent::join(TimePoint now) {
  if (State != Phase::Idle)
    return;
  State = Phase::Joining;
  appendDueRecords(now);
}

void OwnershipAgent::beginLeave(TimePoint now) {
  IsLeaveRequested = true;
  if (State == Phase::Idle)
    State = Phase::Retired;
  NextPhaseAppend = now;
  appendDueRecords(now);
}

// Log -----------------------------------------------------------------------

core::Result<void> OwnershipAgent::onRecord(const OwnershipRecord &record,
                                            core::Offset offset,
                                            TimePoint now) {
  auto result = Map.apply(record, offset);
  onLogOffsetSeen(offset, now);
  if (!result)
    return result;
  for (const InstanceId it : Map.changedInstances())
    onInstanceChanged(it, now);
  if (State != Phase::Retired)
    for (const SliceRef it : Map.changedSlices()) {
      Slices.onSliceChanged(it, Map);
      if (Hooks.SliceChanged)
        Hooks.SliceChanged(it, now);
    }
  markChanged();
  startSlices(now);
  reviewWitnesses(now);
  appendDueRecords(now);
  return {};
}

void OwnershipAgent::onLogReachable(bool isReachable, TimePoint now) {
  IsLogReachable = isReachable;
  if (!isReachable)
    return;
  LastLogContact = now;
  publishLease();
  appendDueRecords(now);
}

void OwnershipAgent::onInstanceChanged(InstanceId id, TimePoint now) {
  updateWatch(id, now);
  if (!Map.holdsLease(id))
    Witness.onRetired(id);
  if (id == Info.Id)
    onSelfChanged(now);
}

void OwnershipAgent::onSelfChanged(TimePoint now) {
  const InstanceState *state = Map.instance(Info.Id);
  if (state == nullptr || state->Status == InstanceStatus::Lost) {
    onRetired();
    return;
  }
  if (State == Phase::Joining)
    onJoined(*state, now);
  if (state->Status == InstanceStatus::Leaving)
    State = Phase::Leaving;
  if (state->WitnessVersion != Holder.version()) {
    WitnessesSince = now;
    SilentWitnesses.clear();
    NextSearch = now;
  }
  Holder.setWitnesses(state->Witnesses, state->WitnessVersion);
  publishLease();
}

void OwnershipAgent::onJoined(const InstanceState &state, TimePoint now) {
  State = Phase::Live;
  JoinedAt = state.JoinedAt;
  LiveSince = now;
  WitnessesSince = now;
  NextPhaseAppend = now;
  Holder.setWitnesses(state.Witnesses, state.WitnessVersion);
  renew(now);
}

void OwnershipAgent::onRetired() {
  State = Phase::Retired;
  Slices.clear();
  Lapses.setHolders({});
  publishLease();
}

void OwnershipAgent::updateWatch(InstanceId id, TimePoint now) {
  const InstanceState *state = Map.instance(id);
  const bool isLive = state != nullptr && Map.holdsLease(id);
  if (!isLive || !contains(state->Witnesses, Info.Id)) {
    Detector.unwatch(id);
    return;
  }
  const auto &list = state->Witnesses;
  const auto at = std::find(list.begin(), list.end(), Info.Id);
  const auto rank = static_cast<std::uint32_t>(at - list.begin());
  const auto quorum = static_cast<std::uint32_t>(blockingCount(list.size()));
  Detector.watch(id, {rank, quorum}, now);
}

// Messages ------------------------------------------------------------------

void OwnershipAgent::onMessage(InstanceId from, const ControlMessage &message,
                               TimePoint now) {
  std::visit([&](const auto &it) { handle(from, it, now); }, message);
}

void OwnershipAgent::handle(InstanceId from, const LeaseAsk &ask,
                            TimePoint now) {
  if (ask.Witness != Info.Id)
    return;
  if (!Witness.onAsk(from, ask.JoinedAt, Map, now)) {
    Hooks.Send(from, LeaseRefusal{from});
    return;
  }
  const core::Offset readTo = Map.lastOffset().value_or(0);
  Hooks.Send(from, LeasePromise{from, ask.AskedAt, readTo});
  onHeartbeat(from, ask.SinceMajority, now);
}

void OwnershipAgent::handle(InstanceId from, const LeasePromise &promise,
                            TimePoint now) {
  if (promise.Holder != Info.Id || !isActive())
    return;
  Holder.onPromise(from, core::fromNanoseconds(promise.AskedAt), now);
  onLogOffsetSeen(promise.ReadTo, now);
  publishLease();
  if (mayPropose(now))
    proposeWitnesses(now);
}

void OwnershipAgent::handle(InstanceId from, const LeaseRefusal &refusal,
                            TimePoint /*now*/) {
  if (refusal.Holder != Info.Id)
    return;
  Holder.onRefusal(from);
  publishLease();
}

void OwnershipAgent::handle(InstanceId from, const ConfirmQuery &query,
                            TimePoint now) {
  if (query.Witness != Info.Id)
    return;
  if (Witness.onConfirmQuery(query.Holder, from, Map, now))
    Hooks.Send(from, LapseConfirmed{query.Holder});
}

void OwnershipAgent::handle(InstanceId from, const LapseConfirmed &confirmed,
                            TimePoint now) {
  if (Lapses.onConfirmed(confirmed.Holder, from, Map, now))
    startSlices(now);
}

void OwnershipAgent::handle(InstanceId from, const Released &released,
                            TimePoint now) {
  Slices.onReleased(from, released, Map);
  startSlices(now);
}

void OwnershipAgent::handle(InstanceId from, const Probe &probe,
                            TimePoint now) {
  if (probe.Holder == Info.Id && isActive())
    Hooks.Send(from, ProbeReply{sinceMajority(now)});
}

void OwnershipAgent::handle(InstanceId from, const ProbeReply &reply,
                            TimePoint now) {
  onHeartbeat(from, reply.SinceMajority, now);
}

void OwnershipAgent::handle(InstanceId from, const SilenceQuery &query,
                            TimePoint now) {
  if (const auto silence = Detector.silenceOf(query.Holder, now))
    Hooks.Send(from, SilenceReport{query.Holder, toMilliseconds(*silence)});
}

void OwnershipAgent::handle(InstanceId from, const SilenceReport &report,
                            TimePoint now) {
  Detector.onSilenceReport(report.Holder, from,
                           std::chrono::milliseconds(report.Silence), now);
}

void OwnershipAgent::onHeartbeat(InstanceId holder, std::uint32_t sinceMajority,
                                 TimePoint now) {
  // A holder whose requests arrive but that receives no promises cannot serve,
  // so its requests count as heartbeats only while it has a majority.
  const Duration usual = Options.Lease.RenewInterval * 3 / 2;
  const Duration since = std::chrono::milliseconds(sinceMajority);
  Detector.markAlive(holder, now - std::max(Duration::zero(), since - usual));
}

// Time ----------------------------------------------------------------------

TimePoint OwnershipAgent::onTick(TimePoint now) {
  if (isActive() && now >= NextRenewal)
    renew(now);
  reviewWitnesses(now);
  sendLapseConfirmations(now);
  queryWitnesses(now);
  startSlices(now);
  runFailureDetector(now);
  appendDueRecords(now);
  return nextDeadline(now);
}

TimePoint OwnershipAgent::nextDeadline(TimePoint now) const {
  TimePoint out = now + Options.IsolationLimit;
  if (isActive())
    out = std::min(out, NextRenewal);
  if (State == Phase::Joining && IsLogReachable)
    out = std::min(out, NextPhaseAppend);
  if (const auto due = Witness.nextDeadline())
    out = std::min(out, *due);
  if (const auto due = Lapses.nextDeadline(now))
    out = std::min(out, *due);
  if (const auto due = Detector.nextDeadline(); due && isActive())
    out = std::min(out, *due);
  return std::max(out, now);
}

void OwnershipAgent::renew(TimePoint now) {
  NextRenewal = now + Options.Lease.RenewInterval;
  // This instance cannot read records that others have read. Let the lease
  // expire so that others take over.
  if (isBehindLog(now))
    return;
  const std::uint32_t since = sinceMajority(now);
  for (const InstanceId it : Holder.onRenew(now))
    Hooks.Send(it, LeaseAsk{it, core::toNanoseconds(now), JoinedAt, since});
  publishLease();
  if (mayPropose(now))
    proposeWitnesses(now);
}

bool OwnershipAgent::mayPropose(TimePoint now) const {
  return Holder.canPropose(now) && (!Hooks.MayPropose || Hooks.MayPropose());
}

void OwnershipAgent::publishLease() {
  const TimePoint expiry = leaseExpiry();
  Holder.onPublished(expiry);
  Clock->Expiry.store(core::toNanoseconds(expiry), std::memory_order_release);
  const TimePoint contact =
      std::max(LastLogContact, expiry - Options.Lease.Length);
  const TimePoint isolation =
      std::min(contact, BehindSince.value_or(contact)) + Options.IsolationLimit;
  Clock->ContactExpiry.store(core::toNanoseconds(isolation),
                             std::memory_order_release);
}

void OwnershipAgent::onLogOffsetSeen(core::Offset offset, TimePoint now) {
  const core::Offset own = Map.lastOffset().value_or(0);
  if (BehindSince && own >= MissedOffset)
    BehindSince.reset();
  if (BehindSince || offset <= own)
    return;
  MissedOffset = offset;
  BehindSince = now;
}

bool OwnershipAgent::isBehindLog(TimePoint now) const {
  return BehindSince && now - *BehindSince >= Options.IsolationLimit;
}

TimePoint OwnershipAgent::leaseExpiry() const {
  return isActive() ? Holder.expiry() : TimePoint{};
}

std::vector<std::vector<InstanceId>> OwnershipAgent::witnessSets() const {
  const auto present = Holder.witnesses();
  std::vector<std::vector<InstanceId>> sets{{present.begin(), present.end()}};
  const auto next = Holder.candidates();
  if (Holder.hasCandidates())
    sets.emplace_back(next.begin(), next.end());
  return sets;
}

bool OwnershipAgent::isIsolated(TimePoint now) const {
  return core::toNanoseconds(now) >=
         Clock->ContactExpiry.load(std::memory_order_relaxed);
}

std::uint32_t OwnershipAgent::sinceMajority(TimePoint now) const {
  const TimePoint majority = Holder.expiry() - Options.Lease.Length;
  return toMilliseconds(now - std::max(majority, LiveSince));
}

// Own witnesses -------------------------------------------------------------

void OwnershipAgent::reviewWitnesses(TimePoint now) {
  if (!isActive() || Holder.isProposed() || now < NextSearch)
    return;
  for (const InstanceId it : Holder.candidates())
    if (!Holder.lastPromise(it))
      SilentWitnesses.insert(it);
  Holder.dropCandidates();
  if (needsWitnesses(now))
    searchWitnesses(now);
}

bool OwnershipAgent::needsWitnesses(TimePoint now) {
  if (updateSilentWitnesses(now))
    return true;
  const WitnessSetQuality fitness = evaluateWitnesses(Map, Holder.witnesses());
  if (fitness != WitnessSetQuality::Colocated)
    ColocatedSince.reset();
  else if (!ColocatedSince)
    ColocatedSince = now;
  return fitness == WitnessSetQuality::Deficient ||
         (ColocatedSince && now - *ColocatedSince >= Options.ColocatedDwell);
}

bool OwnershipAgent::updateSilentWitnesses(TimePoint now) {
  const auto isSilent = [&](InstanceId it) {
    const TimePoint last =
        std::max(Holder.lastPromise(it).value_or(TimePoint{}), WitnessesSince);
    return now - last > Options.WitnessSilenceLimit;
  };
  const auto list = Holder.witnesses();
  const auto silent = std::count_if(list.begin(), list.end(), isSilent);
  // If all are silent, this instance itself was probably paused or cut off.
  if (silent == 0 || (silent == std::ssize(list) && list.size() > 1))
    return false;
  for (const InstanceId it : list)
    if (isSilent(it))
      SilentWitnesses.insert(it);
  return true;
}

void OwnershipAgent::searchWitnesses(TimePoint now) {
  NextSearch = now + Options.WitnessSearchInterval;
  auto chosen = chooseWitnesses(Map, Info, Holder.witnesses(), SilentWitnesses);
  if (haveSameMembers(chosen, Holder.witnesses())) {
    SilentWitnesses.clear();
    return;
  }
  Holder.setCandidates(std::move(chosen));
  renew(now);
}

void OwnershipAgent::proposeWitnesses(TimePoint now) {
  // The outcome of the proposal is unknown until it is read from the log, so
  // both majorities are required from here on.
  Holder.propose();
  publishLease();
  NextWitnessAppend = now;
  appendDueRecords(now);
}

// Takeovers -----------------------------------------------------------------

void OwnershipAgent::startSlices(TimePoint now) {
  if (!isActive())
    return;
  Lapses.setHolders(Slices.lostPredecessors(Map));
  const auto isLapsed = [&](InstanceId id) { return Lapses.isLapsed(id, now); };
  if (!Slices.start(Map, isLapsed, Hooks.MayStart))
    return;
  markChanged();
  appendDueRecords(now);
}

void OwnershipAgent::queryWitnesses(TimePoint now) {
  for (const LeaseExpiryQuery &it : Lapses.onTick(Map, now)) {
    if (it.Witness != Info.Id)
      Hooks.Send(it.Witness, ConfirmQuery{it.Witness, it.Holder});
    else if (Witness.onConfirmQuery(it.Holder, Info.Id, Map, now))
      Lapses.onConfirmed(it.Holder, Info.Id, Map, now);
  }
}

void OwnershipAgent::sendLapseConfirmations(TimePoint now) {
  for (const Confirmation &it : Witness.onTick(now)) {
    if (it.Requester == Info.Id)
      Lapses.onConfirmed(it.Holder, Info.Id, Map, now);
    else
      Hooks.Send(it.Requester, LapseConfirmed{it.Holder});
  }
}

void OwnershipAgent::runFailureDetector(TimePoint now) {
  if (!isActive())
    return;
  for (const membership::Action &it : Detector.onTick(now)) {
    if (it.Kind == membership::ActionKind::Probe)
      probeHolder(it.Holder);
    else
      proposeLost(it.Holder);
  }
}

void OwnershipAgent::probeHolder(InstanceId holder) {
  Hooks.Send(holder, Probe{holder});
  const InstanceState *state = Map.instance(holder);
  if (state == nullptr)
    return;
  for (const InstanceId it : state->Witnesses)
    if (it != Info.Id)
      Hooks.Send(it, SilenceQuery{holder});
}

void OwnershipAgent::proposeLost(InstanceId holder) {
  const InstanceState *state = Map.instance(holder);
  if (state == nullptr || !IsLogReachable)
    return;
  Hooks.Append(InstanceRetired{holder, state->WitnessVersion,
                               RetireReason::Lost, Info.Id});
}

// Appends -------------------------------------------------------------------

void OwnershipAgent::appendDueRecords(TimePoint now) {
  if (!IsLogReachable || State == Phase::Idle || State == Phase::Retired)
    return;
  if (now >= NextPhaseAppend)
    appendPhaseRecord(now);
  if (Holder.isProposed() && now >= NextWitnessAppend) {
    NextWitnessAppend = now + Options.AppendRetry;
    const auto list = Holder.candidates();
    Hooks.Append(WitnessesChanged{
        Info.Id, Holder.version(), {list.begin(), list.end()}});
  }
  if (auto started = Slices.takeDueStarts(Map, now); !started.empty())
    Hooks.Append(SlicesStarted{Info.Id, std::move(started)});
  releaseSlices(now);
}

void OwnershipAgent::appendPhaseRecord(TimePoint now) {
  const bool hasStopped = State == Phase::Leaving && !Slices.hasSlices();
  if (State == Phase::Joining)
    Hooks.Append(InstanceJoined{Info, chooseWitnesses(Map, Info, {}, {})});
  else if (State == Phase::Live && IsLeaveRequested)
    Hooks.Append(InstanceLeaving{Info.Id});
  else if (hasStopped && IsLeaveRequested)
    Hooks.Append(InstanceRetired{Info.Id, Holder.version(),
                                 RetireReason::Stopped, Info.Id});
  else
    return;
  NextPhaseAppend = now + Options.AppendRetry;
}

void OwnershipAgent::releaseSlices(TimePoint now) {
  auto releases = Slices.takeDueReleases(Map, now);
  if (releases.empty())
    return;
  std::map<InstanceId, std::vector<SliceEpoch>> byOwner;
  for (const SliceEpoch &it : releases)
    if (const auto ref = Map.refOf(it.Slice))
      byOwner[Map.slice(*ref)->Owner].push_back(it);
  for (auto &[owner, slices] : byOwner)
    if (owner)
      Hooks.Send(owner, Released{std::move(slices)});
  Hooks.Append(SlicesReleased{Info.Id, std::move(releases)});
}

void OwnershipAgent::onSlicesIdle(std::span<const core::SliceId> slices,
                                  TimePoint now) {
  for (const core::SliceId &it : slices)
    if (const auto ref = Map.refOf(it))
      Slices.onIdle(*ref);
  appendDueRecords(now);
}

std::vector<core::SliceId> OwnershipAgent::drainingSlices() const {
  std::vector<core::SliceId> out;
  for (const SliceRef it : Slices.draining())
    out.push_back(Map.idOf(it));
  return out;
}

// View ----------------------------------------------------------------------

void OwnershipAgent::markChanged() {
  View.reset();
  Hooks.Changed();
}

std::shared_ptr<const OwnershipView> OwnershipAgent::view() {
  if (!View)
    View = std::make_shared<const OwnershipView>(
        Info.Id, Map.share(), Slices.grants(), Clock,
        !Options.InjectedFaults.Expiry);
  return View;
}

} // namespace acaciaroad::ownership
