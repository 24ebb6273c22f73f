#include "Node/IdempotencyGate.h"

#include <algorithm>
#include <set>
#include <utility>

namespace acaciaroad::node {

using requests::BeginVerdict;
using requests::IdempotencyId;
using requests::QuorumState;

namespace {

/// How long a request waits for its witnesses.
constexpr std::chrono::milliseconds AckTimeout{500};

} // namespace

core::Result<std::shared_ptr<IdempotencyGate>>
IdempotencyGate::create(core::InstanceId self, IdempotencyGateHooks hooks) {
  auto decisions = requests::IdempotencyRegister::create(self, {});
  if (!decisions)
    return tl::unexpected(decisions.error());
  return std::shared_ptr<IdempotencyGate>(
      new IdempotencyGate(std::move(*decisions), std::move(hooks)));
}

IdempotencyGate::IdempotencyGate(requests::IdempotencyRegister decisions,
                                 IdempotencyGateHooks hooks)
    : Hooks(std::move(hooks)), Decisions(std::move(decisions)) {}

void IdempotencyGate::setWitnesses(requests::WitnessSets witnesses) {
  std::unique_lock lock(Mutex);
  if (witnesses == Witnesses)
    return;
  Witnesses = witnesses;
  Decisions.setWitnesses(std::move(witnesses));
  std::vector<requests::IdempotencyTell> messages;
  for (const auto &[slice, epoch] : Decisions.slices())
    for (requests::IdempotencyTell &it : retellLocked(slice, epoch))
      messages.push_back(std::move(it));
  const std::vector<core::InstanceId> to = this->witnesses();
  lock.unlock();
  tellEach(messages, to);
}

std::vector<core::InstanceId> IdempotencyGate::witnesses() const {
  std::set<core::InstanceId> all;
  for (const auto &it : Witnesses)
    all.insert(it.begin(), it.end());
  return {all.begin(), all.end()};
}

void IdempotencyGate::tell(const requests::IdempotencyTell &message,
                           std::span<const core::InstanceId> to) const {
  for (const core::InstanceId it : to)
    Hooks.Tell(it, message);
}

core::Result<IdempotencyTicket>
IdempotencyGate::begin(const requests::IdempotentRequest &request,
                       core::TimePoint deadline) {
  Waiter waiter;
  std::unique_lock lock(Mutex);
  const core::TimePoint now = Hooks.Now();
  Decisions.expire(now);
  auto decision = Decisions.begin(request, now);
  if (decision.Verdict == BeginVerdict::Refused)
    return core::fail(decision.Error);
  if (decision.Verdict == BeginVerdict::Replay)
    return IdempotencyTicket{request.Id, std::string(decision.Answer)};
  const std::vector<core::InstanceId> to = witnesses();
  if (!to.empty()) {
    Waiters.insert_or_assign(request.Id, &waiter);
    lock.unlock();
    tell(decision.Message, to);
    lock.lock();
    const auto limit =
        std::min(deadline, now + std::chrono::nanoseconds(AckTimeout));
    if (auto kept = await(request.Id, waiter, limit, lock); !kept)
      return tl::unexpected(kept.error());
  }
  return IdempotencyTicket{request.Id, std::nullopt};
}

core::Result<void> IdempotencyGate::await(const IdempotencyId &id,
                                          Waiter &waiter,
                                          core::TimePoint deadline,
                                          std::unique_lock<std::mutex> &lock) {
  waiter.Wakeup.wait_until(lock, deadline,
                           [&] { return waiter.State != QuorumState::Open; });
  Waiters.erase(id);
  if (waiter.State == QuorumState::Reached)
    return {};
  const auto forget = Decisions.removeNotRun(id);
  const std::vector<core::InstanceId> to = witnesses();
  lock.unlock();
  if (forget)
    for (const core::InstanceId it : to)
      Hooks.Forget(it, *forget);
  return core::fail(core::ErrorKind::PeerUnreachable,
                    "witnesses do not keep the idempotency key");
}

bool IdempotencyGate::acked(const requests::IdempotencyAck &ack) {
  const std::lock_guard lock(Mutex);
  const QuorumState state = Decisions.onAck(ack);
  const auto it = Waiters.find(ack.Id);
  if (it != Waiters.end() && state != QuorumState::Open) {
    it->second->State = state;
    it->second->Wakeup.notify_one();
  }
  return std::erase_if(Retelling, [this](const core::SliceId &slice) {
           return Decisions.isReplicated(slice);
         }) > 0;
}

void IdempotencyGate::completed(const IdempotencyId &id,
                                std::string_view answer) {
  const std::lock_guard lock(Mutex);
  Decisions.markCompleted(id, answer);
}

void IdempotencyGate::outcomeUnknown(const IdempotencyId &id) {
  const std::lock_guard lock(Mutex);
  Decisions.markOutcomeUnknown(id);
}

void IdempotencyGate::notRun(const IdempotencyId &id) {
  std::unique_lock lock(Mutex);
  const auto forget = Decisions.removeNotRun(id);
  const std::vector<core::InstanceId> to = witnesses();
  lock.unlock();
  if (!forget)
    return;
  for (const core::InstanceId it : to)
    Hooks.Forget(it, *forget);
}

core::Result<void>
IdempotencyGate::import(const requests::IdempotencyHandover &handover) {
  const std::lock_guard lock(Mutex);
  return Decisions.importIds(handover, Hooks.Now());
}

requests::IdempotencyHandover
IdempotencyGate::release(const core::SliceId &slice, core::Epoch epoch) {
  const std::lock_guard lock(Mutex);
  return Decisions.release(slice, epoch, Hooks.Now());
}

std::vector<requests::IdempotencyTell>
IdempotencyGate::retellLocked(const core::SliceId &slice, core::Epoch epoch) {
  auto messages = Decisions.replicateSlice(slice, epoch, Hooks.Now());
  if (!Decisions.isReplicated(slice))
    Retelling.insert(slice);
  return messages;
}

void IdempotencyGate::tellEach(
    const std::vector<requests::IdempotencyTell> &messages,
    const std::vector<core::InstanceId> &to) const {
  for (const requests::IdempotencyTell &it : messages)
    tell(it, to);
}

void IdempotencyGate::tellAll(const core::SliceId &slice, core::Epoch epoch) {
  std::unique_lock lock(Mutex);
  const auto messages = retellLocked(slice, epoch);
  const std::vector<core::InstanceId> to = witnesses();
  lock.unlock();
  tellEach(messages, to);
}

bool IdempotencyGate::isWitnessed(const core::SliceId &slice) {
  const std::lock_guard lock(Mutex);
  return Decisions.isReplicated(slice);
}

bool IdempotencyGate::areAllWitnessed() {
  const std::lock_guard lock(Mutex);
  return std::all_of(Retelling.begin(), Retelling.end(),
                     [this](const core::SliceId &slice) {
                       return Decisions.isReplicated(slice);
                     });
}

void IdempotencyGate::retell() {
  std::unique_lock lock(Mutex);
  std::vector<requests::IdempotencyTell> messages;
  for (const core::SliceId &slice : Retelling)
    for (requests::IdempotencyTell &it :
         Decisions.pendingTells(slice, Hooks.Now()))
      messages.push_back(std::move(it));
  const std::vector<core::InstanceId> to = witnesses();
  lock.unlock();
  tellEach(messages, to);
}

} // namespace acaciaroad::node
