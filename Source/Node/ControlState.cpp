#include "Node/ControlState.h"

#include <algorithm>
#include <utility>

namespace acaciaroad::node {

using configuration::Catalogue;
using configuration::ClientAccount;

core::Result<std::unique_ptr<ControlState>>
ControlState::create(const ownership::AgentOptions &options,
                     ownership::InstanceInfo info, ControlStateHooks hooks) {
  std::unique_ptr<ControlState> state(new ControlState(std::move(hooks)));
  state->Self = info.Id;
  state->Handovers = requests::HandoverTracker(info.Id);
  auto agent = ownership::OwnershipAgent::create(options, std::move(info),
                                                 state->agentHooks());
  if (!agent)
    return tl::unexpected(agent.error());
  state->Agent = std::move(*agent);
  auto witness = requests::IdempotencyWitness::create(state->Self, {});
  if (!witness)
    return tl::unexpected(witness.error());
  state->Witness =
      std::make_unique<requests::IdempotencyWitness>(std::move(*witness));
  return state;
}

ControlState::ControlState(ControlStateHooks hooks)
    : Hooks(std::move(hooks)), Configuration(std::make_unique<Catalogue>()) {}

ownership::AgentHooks ControlState::agentHooks() {
  ownership::AgentHooks out;
  out.Send = [this](core::InstanceId to,
                    const ownership::ControlMessage &message) {
    send(to, message);
  };
  out.Append = [this](const ownership::OwnershipRecord &record) {
    Hooks.Append(codec::LogEntry(record), [] {});
  };
  out.Changed = [this] { Changed = true; };
  out.SliceChanged = [this](ownership::SliceRef ref, core::TimePoint now) {
    onSliceTouched(ref, now);
  };
  out.MayStart = [this](const core::SliceId &slice) { return mayStart(slice); };
  out.MayPropose = [this] { return Hooks.AreAllIdsWitnessed(); };
  return out;
}

core::Result<void>
ControlState::restore(const configuration::CatalogueSnapshot &catalogue,
                      const ownership::FleetSnapshot &fleet) {
  auto configuration = Catalogue::fromSnapshot(catalogue);
  if (!configuration)
    return tl::unexpected(configuration.error());
  if (auto restored = Agent->restore(fleet); !restored)
    return restored;
  Configuration = std::make_unique<Catalogue>(**configuration);
  noteClasses();
  AccountsMoved = true;
  NextOffset = catalogue.NextOffset;
  return {};
}

// Log.

void ControlState::onEntries(std::span<const PlacedEntry> entries,
                             core::Offset next, bool isCurrent) {
  for (const PlacedEntry &it : entries)
    resolve(it, fold(it));
  NextOffset = std::max(NextOffset, next);
  Hooks.OnOffset(Self, NextOffset);
  answerOffsetQueries();
  if (!isCurrent)
    return;
  Current = true;
  Agent->onLogReachable(true, Hooks.Now());
  joinIfReady();
}

core::Result<void> ControlState::fold(const PlacedEntry &entry) {
  if (const auto *it = std::get_if<ownership::OwnershipRecord>(&entry.Entry)) {
    auto verdict = Agent->onRecord(*it, entry.Offset, Hooks.Now());
    if (verdict)
      logPlacement(entry.Entry);
    return verdict;
  }
  const auto *it =
      std::get_if<configuration::ConfigurationRecord>(&entry.Entry);
  if (it == nullptr)
    return {};
  auto verdict = Configuration->apply(*it, entry.Offset);
  if (!verdict)
    return verdict;
  Changed = true;
  AccountsMoved = true;
  noteClasses();
  logPlacement(entry.Entry);
  return verdict;
}

void ControlState::resolve(const PlacedEntry &entry,
                           const core::Result<void> &verdict) {
  const auto it = std::find_if(
      Submits.begin(), Submits.end(),
      [&](const PendingSubmit &submit) { return submit.Entry == entry.Entry; });
  if (it == Submits.end())
    return;
  const SubmitHandler handler = std::move(it->Handler);
  Submits.erase(it);
  if (verdict)
    handler(entry.Offset);
  else
    handler(tl::unexpected(verdict.error()));
}

void ControlState::onLogReachable(bool isReachable) {
  // A reachable log counts only once it was read to its end.
  if (!isReachable)
    Agent->onLogReachable(false, Hooks.Now());
}

void ControlState::submit(codec::LogEntry entry, SubmitHandler handler) {
  const auto it =
      Submits.insert(Submits.end(), PendingSubmit{entry, std::move(handler),
                                                  Hooks.Now() + SubmitTimeout});
  const core::TimePoint id = it->Deadline;
  Hooks.Append(entry, [this, id, entry] {
    const auto failed = std::find_if(
        Submits.begin(), Submits.end(), [&](const PendingSubmit &submit) {
          return submit.Deadline == id && submit.Entry == entry;
        });
    if (failed == Submits.end())
      return;
    const SubmitHandler done = std::move(failed->Handler);
    Submits.erase(failed);
    done(core::fail(core::ErrorKind::LogUnavailable));
  });
}

void ControlState::expireSubmits(core::TimePoint now) {
  while (!Submits.empty() && Submits.front().Deadline <= now) {
    const SubmitHandler handler = std::move(Submits.front().Handler);
    Submits.pop_front();
    handler(core::fail(core::ErrorKind::LogOutcomeUnknown));
  }
}

// Membership.

void ControlState::announced(std::string_view service, bool checksGrants) {
  if (WantsJoin)
    return;
  WantsJoin = true;
  Agent->describe(service, checksGrants);
  joinIfReady();
}

void ControlState::joinIfReady() {
  if (WantsJoin && Current && !Agent->hasJoined())
    Agent->join(Hooks.Now());
}

void ControlState::beginLeave() { Agent->beginLeave(Hooks.Now()); }

void ControlState::onSlicesIdle(std::span<const core::SliceId> slices) {
  for (const core::SliceId &it : slices) {
    Releasing.erase(it);
    const auto stopped = Stopping.find(it);
    if (stopped == Stopping.end())
      continue;
    Hooks.Log->ownStop(it, stopped->second);
    Stopping.erase(stopped);
  }
  handOverIds(slices);
  Agent->onSlicesIdle(slices, Hooks.Now());
}

core::TimePoint ControlState::onTick(core::TimePoint now) {
  core::TimePoint next = Agent->onTick(now);
  expireSubmits(now);
  if (!Submits.empty())
    next = std::min(next, Submits.front().Deadline);
  Witness->expire(now);
  if (const auto due = Witness->nextDeadline())
    next = std::min(next, *due);
  askForIds(now);
  if (const auto due = Handovers.nextDeadline())
    next = std::min(next, *due);
  if (!Hooks.AreAllIdsWitnessed())
    next = std::min(next, NextRetell);
  logLease(now);
  publishIfChanged();
  return next;
}

// Messages.

void ControlState::onControl(const codec::PeerControl &message,
                             std::string_view replyAddress) {
  if (message.From != Self)
    Peers.learn(message.From, replyAddress);
  std::visit([&](const auto &body) { handle(message.From, body); },
             message.Body);
}

void ControlState::send(core::InstanceId to, codec::ControlBody body) {
  const auto address = Peers.addressOf(to, Agent->map());
  if (address)
    Hooks.Send(*address, codec::PeerControl{Self, std::move(body)});
}

void ControlState::reply(core::InstanceId to, codec::ControlBody body) {
  if (to == Self)
    Hooks.DeliverToTraffic(body);
  else
    send(to, std::move(body));
}

void ControlState::handle(core::InstanceId from,
                          const ownership::ControlMessage &message) {
  Agent->onMessage(from, message, Hooks.Now());
}

void ControlState::handle(core::InstanceId from,
                          const accounts::CreditAsk &message) {
  const core::TimePoint now = Hooks.Now();
  if (!mayGrant(message.Account, now)) {
    accounts::CreditGrant refusal;
    refusal.Id = message.Id;
    refusal.Account = message.Account;
    refusal.Status = accounts::CreditStatus::NotOwner;
    reply(from, refusal);
    return;
  }
  const accounts::CreditGrant grant = Credit.handleAsk(message, now);
  Hooks.Log->creditGrant(from, grant);
  reply(from, grant);
}

void ControlState::handle(core::InstanceId /*from*/,
                          const accounts::CreditGrant &message) {
  Hooks.DeliverToTraffic(message);
}

void ControlState::handle(core::InstanceId /*from*/,
                          const accounts::CreditReturn &message) {
  Credit.handleReturn(message, Hooks.Now());
}

void ControlState::handle(core::InstanceId /*from*/,
                          const accounts::CreditHandover &message) {
  CreditIn.insert_or_assign(message.Account, message);
}

void ControlState::handle(core::InstanceId from,
                          const requests::IdempotencyTell &message) {
  reply(from, Witness->onTell(message, Hooks.Now()));
}

void ControlState::handle(core::InstanceId /*from*/,
                          const requests::IdempotencyAck &message) {
  Hooks.DeliverToTraffic(message);
}

void ControlState::handle(core::InstanceId /*from*/,
                          const requests::IdempotencyForget &message) {
  Witness->forget(message);
}

void ControlState::handle(core::InstanceId from,
                          const requests::IdempotencyHandoverAsk &message) {
  reply(from, Witness->handOver(message, Hooks.Now()));
}

void ControlState::handle(core::InstanceId /*from*/,
                          const requests::IdempotencyHandover &message) {
  onImported(message);
}

void ControlState::handle(core::InstanceId from,
                          const codec::OffsetQuery &message) {
  OffsetAsks.push_back({from, message.Offset});
  if (OffsetAsks.size() > MaxOffsetAsks)
    OffsetAsks.pop_front();
  answerOffsetQueries();
}

void ControlState::answerOffsetQueries() {
  std::erase_if(OffsetAsks, [this](const OffsetAsk &ask) {
    if (ask.Offset >= NextOffset)
      return false;
    reply(ask.From, codec::OffsetReport{NextOffset});
    return true;
  });
}

void ControlState::handle(core::InstanceId from,
                          const codec::OffsetReport &message) {
  Hooks.OnOffset(from, message.NextOffset);
}

void ControlState::queryOffsets(core::Offset offset) {
  for (const auto &[id, state] : Agent->map().instances())
    if (id != Self && Agent->map().holdsLease(id))
      send(id, codec::OffsetQuery{offset});
  Hooks.OnOffset(Self, NextOffset);
}

// Publication.

void ControlState::publishIfChanged() {
  if (!std::exchange(Changed, false))
    return;
  auto view = std::make_shared<NodeView>();
  view->Configuration = std::make_shared<const Catalogue>(*Configuration);
  view->Ownership = Agent->view();
  view->NextOffset = NextOffset;
  Hooks.Publish(std::move(view));
  logGrants();
  releaseSlices();
  reviewAccountsIfMoved();
}

void ControlState::reviewAccountsIfMoved() {
  if (!std::exchange(AccountsMoved, false))
    return;
  const core::TimePoint now = Hooks.Now();
  for (const configuration::AccountItem &it : Configuration->accounts())
    reviewAccount(it.Value, now);
}

bool ControlState::ownsAccount(std::string_view account) const {
  const ownership::FleetMap &map = Agent->map();
  const auto owner =
      map.ownerOf(ownership::AccountsService, core::hashOf(account));
  if (!owner || owner->Instance != Self)
    return false;
  const auto ref = map.refOf(owner->Slice);
  return ref && Agent->view()->grants().contains(*ref);
}

bool ControlState::mayGrant(std::string_view account,
                            core::TimePoint now) const {
  return Agent->view()
      ->mayServe(ownership::AccountsService, core::hashOf(account), now)
      .has_value();
}

void ControlState::reviewAccount(const ClientAccount &account,
                                 core::TimePoint now) {
  const accounts::AccountRate rate{account.RatePerSecond, account.Burst};
  if (!ownsAccount(account.Name)) {
    Credit.dropOwnership(account.Name);
    return;
  }
  if (Credit.owns(account.Name)) {
    (void)Credit.change(account.Name, rate, now);
    return;
  }
  const auto handed = CreditIn.find(account.Name);
  if (handed == CreditIn.end()) {
    (void)Credit.takeOwnership(account.Name, rate, now);
    return;
  }
  (void)Credit.takeOwnership(handed->second, rate, now);
  CreditIn.erase(handed);
}

void ControlState::releaseSlices() {
  std::vector<core::SliceId> fresh;
  for (const core::SliceId &it : Agent->drainingSlices())
    if (Releasing.insert(it).second)
      fresh.push_back(it);
  if (fresh.empty())
    return;
  handOverCredit(fresh);
  Hooks.ReleaseSlices(fresh);
}

void ControlState::handOverCredit(std::span<const core::SliceId> slices) {
  const core::TimePoint now = Hooks.Now();
  const ownership::FleetMap &map = Agent->map();
  for (const configuration::AccountItem &it : Configuration->accounts()) {
    const auto owner =
        map.ownerOf(ownership::AccountsService, core::hashOf(it.Value.Name));
    const bool isMoving = owner && std::find(slices.begin(), slices.end(),
                                             owner->Slice) != slices.end();
    if (!isMoving)
      continue;
    // The view that moved the slice is published, so nothing is granted after.
    if (auto handover = Credit.handOver(it.Value.Name, now))
      send(owner->Instance, std::move(*handover));
  }
}

// Ids of at-most-once requests.

bool ControlState::needsIds(std::string_view service) const {
  return OnceServices.contains(service);
}

void ControlState::noteClasses() {
  OnceServices.clear();
  for (const configuration::ClassItem &it : Configuration->classes())
    if (it.Value.ExecutionMode == configuration::Execution::AtMostOnce)
      OnceServices.insert(it.Value.Service);
}

requests::HandoverSource ControlState::sourceOf(core::InstanceId id) const {
  requests::HandoverSource out;
  out.Owner = id;
  out.IsRetired = !Agent->map().holdsLease(id);
  if (const ownership::InstanceState *state = Agent->map().instance(id))
    out.Witnesses = state->Witnesses;
  return out;
}

void ControlState::onSliceTouched(ownership::SliceRef ref,
                                  core::TimePoint now) {
  const ownership::FleetMap &map = Agent->map();
  const ownership::SliceState *state = map.slice(ref);
  const core::SliceId slice = map.idOf(ref);
  if (state == nullptr || state->Owner != Self) {
    Owned.erase(slice);
    Handovers.lost(slice);
    return;
  }
  const auto [it, isNew] = Owned.try_emplace(slice, state->Epoch);
  if (!isNew && it->second == state->Epoch) {
    std::vector<core::InstanceId> remaining;
    for (const ownership::Predecessor &p : state->Predecessors)
      remaining.push_back(p.Id);
    Handovers.onRemainingOwners(slice, remaining, now);
    return;
  }
  it->second = state->Epoch;
  if (!needsIds(slice.Service))
    return;
  std::vector<requests::HandoverSource> sources;
  for (const ownership::Predecessor &p : state->Predecessors)
    sources.push_back(sourceOf(p.Id));
  Handovers.gained(slice, state->Epoch, std::move(sources), now);
}

bool ControlState::mayStart(const core::SliceId &slice) const {
  return Handovers.isComplete(slice) && Hooks.AreIdsWitnessed(slice);
}

void ControlState::onImported(const requests::IdempotencyHandover &handover) {
  const auto it = Owned.find(handover.Slice);
  if (it == Owned.end() || it->second != handover.Epoch)
    return;
  // A register that is full keeps the slice from starting.
  if (!Hooks.ImportIds(handover) || !Handovers.onHandover(handover))
    return;
  Hooks.TellIds(handover.Slice, handover.Epoch);
  Agent->onStartConditionsChanged(Hooks.Now());
}

void ControlState::onSourceLost(core::InstanceId owner) {
  const core::TimePoint now = Hooks.Now();
  const auto completed = Handovers.onOwnerRetired(owner, now);
  for (const core::SliceId &it : completed)
    Hooks.TellIds(it, Owned.at(it));
  if (!completed.empty())
    Agent->onStartConditionsChanged(now);
}

void ControlState::onIdsWitnessed() {
  Agent->onStartConditionsChanged(Hooks.Now());
}

void ControlState::handOverIds(std::span<const core::SliceId> slices) {
  const ownership::FleetMap &map = Agent->map();
  for (const core::SliceId &it : slices) {
    const auto ref = map.refOf(it);
    if (!ref || !needsIds(it.Service))
      continue;
    const ownership::SliceState *state = map.slice(*ref);
    if (state->Owner && state->Owner != Self)
      send(state->Owner, Hooks.ReleaseIds(it, state->Epoch));
  }
}

void ControlState::askForIds(core::TimePoint now) {
  for (const requests::DueHandoverAsk &it : Handovers.takeDueAsks(now)) {
    if (it.Witness == Self)
      onImported(Witness->handOver(it.Ask, now));
    else
      send(it.Witness, it.Ask);
  }
  if (now < NextRetell || Hooks.AreAllIdsWitnessed())
    return;
  NextRetell = now + std::chrono::nanoseconds(RetellInterval);
  Hooks.RetellIds();
}

// Log lines.

void ControlState::logPlacement(const codec::LogEntry &entry) {
  if (const auto *record = std::get_if<ownership::OwnershipRecord>(&entry)) {
    if (const auto *it = std::get_if<ownership::InstanceRetired>(record)) {
      Hooks.Log->takeover(it->Id, it->Reason);
      onSourceLost(it->Id);
    }
    if (const auto *it = std::get_if<ownership::DataCentreShareSet>(record))
      Hooks.Log->dataCentreShare(it->DataCentre, it->SharePermille);
    return;
  }
  const auto *record = std::get_if<configuration::ConfigurationRecord>(&entry);
  if (record == nullptr)
    return;
  if (const auto *it = std::get_if<configuration::KeyWithdrawn>(record))
    Hooks.Log->keyWithdrawn(it->KeyId);
}

void ControlState::logGrants() {
  const ownership::FleetMap &map = Agent->map();
  const ownership::GrantTable &now = Agent->view()->grants();
  for (const auto &[ref, epoch] : Served) {
    if (now.contains(ref))
      continue;
    const core::SliceId slice = map.idOf(ref);
    AccountsMoved |= slice.Service == ownership::AccountsService;
    Stopping.insert_or_assign(slice, epoch);
  }
  for (const auto &[ref, epoch] : now) {
    const auto it = Served.find(ref);
    if (it != Served.end() && it->second == epoch)
      continue;
    const core::SliceId slice = map.idOf(ref);
    AccountsMoved |= slice.Service == ownership::AccountsService;
    Hooks.Log->ownStart(slice, epoch);
    Stopping.erase(slice);
  }
  Served = now;
}

void ControlState::logLease(core::TimePoint now) {
  const bool hasLease = Agent->leaseExpiry() > now;
  if (HadLease && !hasLease && Agent->hasJoined())
    Hooks.Log->leaseLost();
  HadLease = hasLease;
}

} // namespace acaciaroad::node
