#include "Node/AdmissionGate.h"

#include <utility>

namespace acaciaroad::node {

Permit::Permit(std::shared_ptr<AdmissionGate> gate, upstream::Ticket ticket)
    : Gate(std::move(gate)), Ticket(ticket) {}

Permit::Permit(Permit &&other) noexcept
    : Gate(std::move(other.Gate)), Ticket(other.Ticket) {}

Permit::~Permit() { finish(upstream::Outcome::Failed, core::Duration::zero()); }

void Permit::finish(upstream::Outcome outcome, core::Duration serviceTime) {
  if (!Gate)
    return;
  Gate->finish(Ticket, outcome, serviceTime);
  Gate.reset();
}

AdmissionGate::AdmissionGate(AdmissionGateHooks hooks)
    : Hooks(std::move(hooks)) {}

core::Result<std::shared_ptr<AdmissionGate>>
AdmissionGate::create(const upstream::FairQueueLimits &limits,
                      AdmissionGateHooks hooks) {
  std::shared_ptr<AdmissionGate> gate(new AdmissionGate(std::move(hooks)));
  AdmissionGate *self = gate.get();
  upstream::AdmissionHooks wake;
  wake.OnStart = [self](upstream::Ticket ticket) {
    self->conclude(ticket, std::nullopt);
  };
  wake.OnRefused = [self](upstream::Ticket ticket, core::ErrorKind reason) {
    self->conclude(ticket, reason);
  };
  auto decisions = upstream::Admission::create(limits, std::move(wake));
  if (!decisions)
    return tl::unexpected(decisions.error());
  gate->Decisions = std::move(*decisions);
  return gate;
}

core::Result<Permit> AdmissionGate::acquire(const PermitRequest &request) {
  std::unique_lock lock(Mutex);
  upstream::Offer offer;
  offer.Id = ++LastTicket;
  offer.Account = request.Account;
  offer.WorkClass = request.WorkClass;
  offer.Deadline = request.Deadline;
  offer.Slice = request.Slice;
  const upstream::Decision decision = Decisions->offer(offer, Hooks.Now());
  if (decision.Status == upstream::AdmissionStatus::Refused)
    return core::fail(decision.Reason);
  if (decision.Status == upstream::AdmissionStatus::Queued)
    if (auto turn = await(offer.Id, lock); !turn)
      return tl::unexpected(turn.error());
  return Permit(shared_from_this(), offer.Id);
}

core::Result<void> AdmissionGate::await(upstream::Ticket ticket,
                                        std::unique_lock<std::mutex> &lock) {
  Waiter waiter;
  Waiters.emplace(ticket, &waiter);
  while (!waiter.IsDone) {
    const auto next = Decisions->nextDeadline();
    if (next)
      waiter.Wakeup.wait_until(lock, *next);
    else
      waiter.Wakeup.wait(lock);
    if (!waiter.IsDone)
      Decisions->expire(Hooks.Now());
  }
  Waiters.erase(ticket);
  if (waiter.Refusal)
    return core::fail(*waiter.Refusal);
  return {};
}

void AdmissionGate::conclude(upstream::Ticket ticket,
                             std::optional<core::ErrorKind> refusal) {
  const auto it = Waiters.find(ticket);
  if (it == Waiters.end())
    return;
  it->second->IsDone = true;
  it->second->Refusal = refusal;
  it->second->Wakeup.notify_one();
}

void AdmissionGate::finish(upstream::Ticket ticket, upstream::Outcome outcome,
                           core::Duration serviceTime) {
  std::vector<core::SliceIndex> idle;
  {
    const std::lock_guard lock(Mutex);
    Decisions->finished(ticket, outcome, serviceTime, Hooks.Now());
    idle = takeIdleSlices();
  }
  if (!idle.empty())
    Hooks.OnSlicesIdle(idle);
}

void AdmissionGate::announced(const upstream::UpstreamAnnouncement &upstream) {
  const std::lock_guard lock(Mutex);
  Decisions->setUpstream(upstream, Hooks.Now());
}

void AdmissionGate::left() {
  const std::lock_guard lock(Mutex);
  Decisions->removeUpstream(Hooks.Now());
}

void AdmissionGate::beginDrain() {
  const std::lock_guard lock(Mutex);
  Decisions->beginDrain();
}

void AdmissionGate::releaseSlices(std::span<const core::SliceIndex> slices) {
  std::vector<core::SliceIndex> idle;
  {
    const std::lock_guard lock(Mutex);
    for (const core::SliceIndex it : slices)
      Decisions->refuseQueued(it, core::ErrorKind::OwnerChanged);
    Releasing.insert(Releasing.end(), slices.begin(), slices.end());
    idle = takeIdleSlices();
  }
  if (!idle.empty())
    Hooks.OnSlicesIdle(idle);
}

std::vector<core::SliceIndex> AdmissionGate::takeIdleSlices() {
  std::vector<core::SliceIndex> idle;
  std::erase_if(Releasing, [&](core::SliceIndex slice) {
    if (!Decisions->isIdle(slice))
      return false;
    idle.push_back(slice);
    return true;
  });
  return idle;
}

std::optional<upstream::UpstreamAnnouncement> AdmissionGate::upstream() const {
  const std::lock_guard lock(Mutex);
  return Decisions->upstream();
}

upstream::LoadReport AdmissionGate::loadReport() const {
  const std::lock_guard lock(Mutex);
  return Decisions->loadReport();
}

bool AdmissionGate::isCold() const {
  const std::lock_guard lock(Mutex);
  return Decisions->isCold();
}

} // namespace acaciaroad::node
