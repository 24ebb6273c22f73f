#include "Programs/StandinUpstream/OrderBook.h"

#include <algorithm>

namespace acaciaroad::standinupstream {

OrderBook::OrderBook(std::uint32_t slots, core::Duration coldStart)
    : Slots(slots), ColdStart(slots, coldStart, core::BootClock::now()) {}

void OrderBook::enter(const std::shared_ptr<Order> &order) {
  const std::lock_guard lock(Mutex);
  const core::TimePoint now = core::BootClock::now();
  if (Running.size() < ColdStart.capacity(now)) {
    Running.insert(order);
    start(*order, now);
  } else if (ColdStart.isCold(now)) {
    fallOver(*order, now);
  } else {
    Waiting.push_back(order);
  }
  Changed.notify_all();
}

void OrderBook::leave(const std::shared_ptr<Order> &order, bool isCompleted) {
  const std::lock_guard lock(Mutex);
  std::erase(Waiting, order);
  if (Running.erase(order) != 0 && isCompleted)
    ColdStart.countCompleted();
  startWaiting();
  Changed.notify_all();
}

bool OrderBook::cancel(std::string_view requestId) {
  const std::lock_guard lock(Mutex);
  const auto matches = [&](const std::shared_ptr<Order> &it) {
    return it->RequestId == requestId;
  };
  std::shared_ptr<Order> found;
  if (auto it = std::find_if(Running.begin(), Running.end(), matches);
      it != Running.end())
    found = *it;
  if (auto it = std::find_if(Waiting.begin(), Waiting.end(), matches);
      it != Waiting.end())
    found = *it;
  if (!found)
    return false;
  found->State = OrderState::Cancelled;
  found->Waiter->signal();
  return true;
}

OrderState OrderBook::stateOf(const Order &order) const {
  const std::lock_guard lock(Mutex);
  return order.State;
}

OrderLoad OrderBook::loadOf(const Order &order) const {
  const std::lock_guard lock(Mutex);
  return order.Load;
}

void OrderBook::turnCold() {
  const std::lock_guard lock(Mutex);
  ColdStart.restart(core::BootClock::now());
}

bool OrderBook::isCold() const {
  const std::lock_guard lock(Mutex);
  return ColdStart.isCold(core::BootClock::now());
}

double OrderBook::slowdown() const {
  const std::lock_guard lock(Mutex);
  return ColdStart.slowdown(core::BootClock::now());
}

OrderCounts OrderBook::counts() const {
  const std::lock_guard lock(Mutex);
  return countsLocked();
}

OrderCounts OrderBook::countsLocked() const {
  OrderCounts out = Counts;
  out.Running = static_cast<std::uint32_t>(Running.size());
  out.Waiting = static_cast<std::uint32_t>(Waiting.size());
  return out;
}

void OrderBook::await(
    const std::function<bool(const OrderCounts &)> &condition) {
  std::unique_lock lock(Mutex);
  Changed.wait(lock, [&] { return condition(countsLocked()); });
}

void OrderBook::awaitQuiet(core::Duration quiet, core::TimePoint limit) {
  std::unique_lock lock(Mutex);
  while (core::BootClock::now() < limit) {
    const core::TimePoint end = std::min(limit, core::BootClock::now() + quiet);
    if (!isEmpty())
      Changed.wait_until(lock, limit, [this] { return isEmpty(); });
    else if (!Changed.wait_until(lock, end, [this] { return !isEmpty(); }))
      return;
  }
}

void OrderBook::start(Order &order, core::TimePoint now) {
  order.State = OrderState::Running;
  order.Load = {static_cast<std::uint32_t>(Running.size()),
                ColdStart.capacity(now), ColdStart.isCold(now)};
  Counts.RunningPeak =
      std::max(Counts.RunningPeak, static_cast<std::uint32_t>(Running.size()));
}

void OrderBook::startWaiting() {
  const core::TimePoint now = core::BootClock::now();
  const std::uint32_t capacity = ColdStart.capacity(now);
  while (!Waiting.empty() && Running.size() < capacity) {
    const std::shared_ptr<Order> next = Waiting.front();
    Waiting.pop_front();
    if (next->State != OrderState::Waiting)
      continue;
    Running.insert(next);
    start(*next, now);
    next->Waiter->signal();
  }
}

void OrderBook::fallOver(Order &cause, core::TimePoint now) {
  ++Counts.ColdOverloads;
  cause.State = OrderState::Failed;
  cause.Load = {static_cast<std::uint32_t>(Running.size() + 1),
                ColdStart.capacity(now), true};
  for (const auto &it : Running) {
    it->State = OrderState::Failed;
    it->Waiter->signal();
  }
  Running.clear();
  ColdStart.restart(now);
}

} // namespace acaciaroad::standinupstream
