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
  if (const auto *it = std::get_if<ownership::OwnershipRecord>(&entry.Entry))
    return Agent->onRecord(*it, entry.Offset, Hooks.Now());
  const auto *it =
      std::get_if<configuration::ConfigurationRecord>(&entry.Entry);
  if (it == nullptr)
    return {};
  auto verdict = Configuration->apply(*it, entry.Offset);
  if (verdict)
    Changed = true;
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
  for (const core::SliceId &it : slices)
    Releasing.erase(it);
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
  reply(from, Credit.asked(message, now));
}

void ControlState::handle(core::InstanceId /*from*/,
                          const accounts::CreditGrant &message) {
  Hooks.DeliverToTraffic(message);
}

void ControlState::handle(core::InstanceId /*from*/,
                          const accounts::CreditReturn &message) {
  Credit.returned(message, Hooks.Now());
}

void ControlState::handle(core::InstanceId from,
                          const requests::IdempotencyTell &message) {
  reply(from, Witness->told(message, Hooks.Now()));
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
  Hooks.DeliverToTraffic(message);
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
  reviewAccounts();
  releaseSlices();
}

void ControlState::reviewAccounts() {
  const core::TimePoint now = Hooks.Now();
  for (const configuration::AccountItem &it : Configuration->accounts())
    reviewAccount(it.Value, now);
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
  if (!mayGrant(account.Name, now)) {
    Credit.disown(account.Name);
    return;
  }
  if (Credit.owns(account.Name))
    (void)Credit.change(account.Name, rate, now);
  else
    (void)Credit.own(account.Name, rate, now);
}

void ControlState::releaseSlices() {
  std::vector<core::SliceId> fresh;
  for (const core::SliceId &it : Agent->drainingSlices())
    if (Releasing.insert(it).second)
      fresh.push_back(it);
  if (!fresh.empty())
    Hooks.ReleaseSlices(fresh);
}

} // namespace acaciaroad::node
