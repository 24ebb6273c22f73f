#include "Node/CreditGate.h"

#include <utility>

namespace acaciaroad::node {

core::Result<std::shared_ptr<CreditGate>>
CreditGate::create(core::InstanceId self, CreditGateHooks hooks) {
  std::shared_ptr<CreditGate> gate(new CreditGate(std::move(hooks)));
  auto holder = accounts::CreditHolder::create(self, gate->holderHooks());
  if (!holder)
    return tl::unexpected(holder.error());
  gate->Holder = std::move(*holder);
  gate->Thread = std::thread([raw = gate.get()] { raw->run(); });
  return gate;
}

CreditGate::CreditGate(CreditGateHooks hooks) : Hooks(std::move(hooks)) {}

CreditGate::~CreditGate() { stop(); }

accounts::CreditHooks CreditGate::holderHooks() {
  accounts::CreditHooks out;
  out.Ask = [this](const accounts::CreditAsk &ask) {
    Pending.emplace_back([this, ask] { Hooks.Ask(ask); });
  };
  out.Return = [this](const accounts::CreditReturn &message) {
    Pending.emplace_back([this, message] { Hooks.Return(message); });
  };
  out.OnTaken = [this](accounts::Ticket ticket) {
    conclude(ticket, std::nullopt);
  };
  out.OnRefused = [this](accounts::Ticket ticket, core::ErrorKind reason) {
    conclude(ticket, reason);
  };
  return out;
}

core::Result<void> CreditGate::take(std::string_view account) {
  Waiter waiter;
  std::unique_lock lock(Mutex);
  const accounts::Ticket ticket = ++LastTicket;
  const auto decision = Holder->take(account, ticket, Hooks.Now());
  if (decision.Outcome == accounts::TakeOutcome::AwaitingCredit)
    Waiters.emplace(ticket, &waiter);
  const Outgoing messages = std::exchange(Pending, {});
  if (!messages.empty()) {
    Timer.notify_one();
    lock.unlock();
    send(messages);
    lock.lock();
  }
  if (decision.Outcome == accounts::TakeOutcome::Taken)
    return {};
  if (decision.Outcome == accounts::TakeOutcome::Refused)
    return core::fail(decision.Reason);
  waiter.Wakeup.wait(lock, [&] { return waiter.IsDone; });
  Waiters.erase(ticket);
  if (waiter.Refusal)
    return core::fail(*waiter.Refusal);
  return {};
}

void CreditGate::granted(const accounts::CreditGrant &grant) {
  Outgoing messages;
  {
    const std::lock_guard lock(Mutex);
    Holder->handleGrant(grant, Hooks.Now());
    messages = std::exchange(Pending, {});
    Timer.notify_one();
  }
  send(messages);
}

void CreditGate::stop() {
  Outgoing messages;
  {
    const std::lock_guard lock(Mutex);
    if (Stopping)
      return;
    Stopping = true;
    Holder->returnAll(Hooks.Now());
    messages = std::exchange(Pending, {});
    Timer.notify_one();
  }
  send(messages);
  Thread.join();
}

void CreditGate::conclude(accounts::Ticket ticket,
                          std::optional<core::ErrorKind> refusal) {
  const auto it = Waiters.find(ticket);
  if (it == Waiters.end())
    return;
  it->second->IsDone = true;
  it->second->Refusal = refusal;
  it->second->Wakeup.notify_one();
}

void CreditGate::send(const Outgoing &messages) {
  for (const auto &it : messages)
    it();
}

void CreditGate::run() {
  std::unique_lock lock(Mutex);
  while (!Stopping) {
    const auto next = Holder->nextDeadline();
    if (next)
      Timer.wait_until(lock, *next);
    else
      Timer.wait(lock);
    if (Stopping)
      return;
    Holder->expire(Hooks.Now());
    const Outgoing messages = std::exchange(Pending, {});
    lock.unlock();
    send(messages);
    lock.lock();
  }
}

} // namespace acaciaroad::node
