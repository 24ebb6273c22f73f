/// \file
/// The orders of an upstream: which run, which wait for a slot.

#ifndef ACACIAROAD_STANDINUPSTREAM_ORDERBOOK_H
#define ACACIAROAD_STANDINUPSTREAM_ORDERBOOK_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

#include "Core/Clock.h"
#include "Programs/StandinUpstream/ColdStartModel.h"
#include "Programs/StandinUpstream/OrderWait.h"

namespace acaciaroad::standinupstream {

enum class OrderState : std::uint8_t {
  Waiting,
  Running,
  /// The node asked for its end, or closed the connection.
  Cancelled,
  /// The upstream fell over while it ran.
  Failed,
};

/// What the upstream bore when an order began.
struct OrderLoad {
  /// Orders that ran, this one included.
  std::uint32_t InFlight = 0;
  /// Orders that could run at once.
  std::uint32_t Bearable = 0;
  bool IsCold = false;
};

/// One order between its arrival and its end. The state is guarded by the book.
struct Order {
  std::string RequestId;
  std::shared_ptr<OrderWait> Waiter;
  OrderState State = OrderState::Waiting;
  OrderLoad Load;
};

/// Load and its peaks.
struct OrderCounts {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t RunningPeak = 0;
  std::uint64_t ColdOverloads = 0;
};

/// Gives out slots in order of arrival. Fewer slots are open during a cold
/// start, when an order too many makes the upstream fall over: everything that
/// runs fails, and it is cold again. All members may be called from any thread.
class OrderBook {
public:
  OrderBook(std::uint32_t slots, core::Duration coldStart);

  /// Lets \p order run, wait, or fail with the whole upstream.
  void enter(const std::shared_ptr<Order> &order);

  /// Ends \p order and gives its slot on.
  void leave(const std::shared_ptr<Order> &order, bool isCompleted);

  /// Cancels the order with this request id; false if there is none.
  bool cancel(std::string_view requestId);

  OrderState stateOf(const Order &order) const;
  /// What was borne when \p order began, or when it was one too many.
  OrderLoad loadOf(const Order &order) const;
  void turnCold();
  bool isCold() const;
  double slowdown() const;
  OrderCounts counts() const;

  /// Waits until the counts meet \p condition.
  void await(const std::function<bool(const OrderCounts &)> &condition);

  /// Waits until no order has been here for \p quiet, at most until \p limit.
  void awaitQuiet(core::Duration quiet, core::TimePoint limit);

private:
  void start(Order &order, core::TimePoint now);
  void startWaiting();
  void fallOver(Order &cause, core::TimePoint now);
  OrderCounts countsLocked() const;
  bool isEmpty() const { return Running.empty() && Waiting.empty(); }

  const std::uint32_t Slots;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  ColdStartModel ColdStart;
  std::set<std::shared_ptr<Order>> Running;
  std::deque<std::shared_ptr<Order>> Waiting;
  OrderCounts Counts;
};

} // namespace acaciaroad::standinupstream

#endif
