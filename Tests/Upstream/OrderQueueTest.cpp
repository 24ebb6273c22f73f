#include "Upstream/OrderQueue.h"

#include <string>
#include <vector>

#include "Support/Table.h"
#include "Upstream/KeyLoad.h"
#include "Upstream/SlidingWindowLimiter.h"

using namespace acaciaroad;
using namespace acaciaroad::upstream;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Returns a queue with two slots and a mean service time of 50 ms.
OrderQueue makeQueue(TimePoint now) {
  OrderQueue out;
  out.setSlots(2);
  for (Ticket id = 1000; id < 1010; ++id) {
    out.offer(
        {id, "work", 0, now + milliseconds(1000), now + milliseconds(1000)},
        now);
    out.finished(id, true, now + milliseconds(50));
  }
  return out;
}

struct Offered {
  Ticket Id;
  std::int32_t Rank;
  int DeadlineMs;
  /// 0 means the deadline.
  int TargetMs = 0;
};

struct OfferRow {
  const char *Name;
  std::vector<Offered> Offers;
  /// One letter for each offer: s for started, q for queued, r for refused.
  std::string Statuses;
  /// Tickets in the order in which they start once slots become free.
  std::vector<Ticket> Order;
};

const OfferRow OfferRows[] = {
    {"free slots are used", {{1, 0, 500}, {2, 0, 500}}, "ss", {}},
    {"the rest waits", {{1, 0, 500}, {2, 0, 500}, {3, 0, 500}}, "ssq", {3}},
    {"a lower rank starts first",
     {{1, 0, 500}, {2, 0, 500}, {3, 2, 500}, {4, 1, 500}, {5, -1, 500}},
     "ssqqq",
     {5, 4, 3}},
    {"the earlier deadline starts first at equal rank",
     {{1, 0, 500}, {2, 0, 500}, {3, 1, 500}, {4, 1, 300}},
     "ssqq",
     {4, 3}},
    {"deadline shorter than the service time", {{1, 0, 20}}, "r", {}},
    {"deadline shorter than wait and service time",
     {{1, 0, 500}, {2, 0, 500}, {3, 0, 50}},
     "ssr",
     {}},
    {"refused if it would end far beyond the target",
     {{1, 0, 500, 200}, {2, 0, 500, 200}, {3, 0, 500, 200}, {4, 0, 500, 60}},
     "ssqr",
     {3}},
    {"a free slot is used even if the target is missed",
     {{1, 0, 500, 10}},
     "s",
     {}},
    {"a short deadline behind a long queue",
     {{1, 0, 500}, {2, 0, 500}, {3, 0, 900}, {4, 0, 900}, {5, 1, 100}},
     "ssqqr",
     {3, 4}},
};

char letterOf(AdmissionStatus status) {
  switch (status) {
  case AdmissionStatus::Start:
    return 's';
  case AdmissionStatus::Queued:
    return 'q';
  case AdmissionStatus::Refused:
    return 'r';
  }
  return '?';
}

struct RateRow {
  const char *Name;
  std::uint32_t Limit;
  int IntervalMs;
};

const RateRow RateRows[] = {
    {"a burst", 38, 0}, {"a steady stream", 38, 5}, {"one per second", 1, 100}};

} // namespace

ACACIA_TABLE_TEST(OrderQueue, Offers, OfferRows) {
  const TimePoint now{};
  OrderQueue queue = makeQueue(now);
  std::string statuses;
  std::vector<Ticket> running;
  for (const Offered &it : row.Offers) {
    const int target = it.TargetMs == 0 ? it.DeadlineMs : it.TargetMs;
    const auto decision =
        queue.offer({it.Id, "work", it.Rank, now + milliseconds(it.DeadlineMs),
                     now + milliseconds(target)},
                    now);
    statuses += letterOf(decision.Status);
    if (decision.Status == AdmissionStatus::Start)
      running.push_back(it.Id);
  }
  cr_assert_eq(statuses, row.Statuses, "%s: statuses are %s", row.Name,
               statuses.c_str());
  std::vector<Ticket> order;
  while (!running.empty()) {
    queue.finished(running.front(), true, now + milliseconds(50));
    running.erase(running.begin());
    for (const Dequeued &it : queue.advance(now)) {
      order.push_back(it.Id);
      running.push_back(it.Id);
    }
  }
  cr_assert(order == row.Order, "%s: wrong start order", row.Name);
}

namespace {

struct ExpiryRow {
  const char *Name;
  /// Mean service time; 0 if it is not known.
  int ServiceMs;
  /// Time left before the deadline of an order that waits.
  int LeftMs;
  /// Whether a slot becomes free then.
  bool IsFree;
  /// One letter: s for started, q for still queued, r for refused.
  char Status;
};

const ExpiryRow ExpiryRows[] = {
    {"too little time for the service", 50, 20, false, 'r'},
    {"too little time for the service, a slot free", 50, 20, true, 'r'},
    {"time enough", 50, 100, false, 'q'},
    {"time enough, a slot free", 50, 100, true, 's'},
    {"service time unknown, time for the answer alone", 0, 30, false, 'r'},
    {"service time unknown, a slot free", 0, 30, true, 's'},
    {"service time unknown, time enough", 0, 100, false, 'q'},
};

} // namespace

// A refusal at the deadline would come to the entry node after it has told its
// caller that the outcome is unknown.
ACACIA_TABLE_TEST(OrderQueue, RefusesWaitingOrdersInTime, ExpiryRows) {
  const TimePoint start{};
  OrderQueue queue;
  if (row.ServiceMs > 0)
    queue = makeQueue(start);
  queue.setSlots(2);
  for (const Ticket it : {1U, 2U, 3U})
    queue.offer(
        {it, "work", 0, start + milliseconds(300), start + milliseconds(300)},
        start);
  const TimePoint now = start + milliseconds(300 - row.LeftMs);
  if (row.IsFree)
    queue.finished(1, false, now);
  const auto out = queue.advance(now);
  char status = 'q';
  if (!out.empty())
    status = out[0].Status == AdmissionStatus::Refused ? 'r' : 's';
  cr_assert_eq(status, row.Status, "%s: %c", row.Name, status);
  cr_assert_leq(out.size(), 1U, "%s", row.Name);
  for (const Dequeued &it : out)
    cr_assert_eq(it.Id, 3U, "%s", row.Name);
}

namespace {

struct ShutdownRow {
  const char *Name;
  /// When the node stops, and when the queue is checked.
  int ShutdownMs;
  int AtMs;
  /// Decision on an order with a deadline of 500 ms that is offered then, and
  /// the reason if it is refused.
  AdmissionStatus ExpectedStatus;
  core::ErrorKind Reason;
  /// Number of waiting orders that are refused.
  std::size_t Refused;
};

const ShutdownRow ShutdownRows[] = {
    {"time for all orders", 400, 0, AdmissionStatus::Queued, {}, 0},
    {"time for one more round", 60, 0, AdmissionStatus::Refused,
     core::ErrorKind::QueueFull, 0},
    {"no time left", 400, 390, AdmissionStatus::Refused,
     core::ErrorKind::NodeStopping, 1},
};

} // namespace

ACACIA_TABLE_TEST(OrderQueue, RefusesOrdersThatEndAfterShutdown, ShutdownRows) {
  const TimePoint start{};
  OrderQueue queue = makeQueue(start);
  const auto orderOf = [&](Ticket id) -> QueuedOrder {
    return {id, "work", 0, start + milliseconds(500),
            start + milliseconds(500)};
  };
  for (const Ticket it : {1U, 2U, 3U})
    queue.offer(orderOf(it), start);
  queue.setShutdownTime(start + milliseconds(row.ShutdownMs));
  const auto now = start + milliseconds(row.AtMs);
  const auto decision = queue.offer(orderOf(4), now);
  cr_assert(decision.Status == row.ExpectedStatus, "%s", row.Name);
  if (row.ExpectedStatus == AdmissionStatus::Refused)
    cr_assert(decision.Reason == row.Reason, "%s", row.Name);
  const auto out = queue.advance(now);
  cr_assert_eq(out.size(), row.Refused, "%s: %zu refused", row.Name,
               out.size());
  for (const Dequeued &it : out)
    cr_assert(it.Reason == core::ErrorKind::NodeStopping, "%s", row.Name);
}

// A pause of the process made the mean service time exceed the target. All
// other orders of the class were then refused, so that the mean was never
// updated.
Test(OrderQueue, ResetsStaleServiceTime) {
  OrderQueue queue;
  queue.setSlots(2);
  TimePoint now{seconds(100)};
  const auto offer = [&](Ticket id) {
    return queue
        .offer(
            {id, "work", 0, now + milliseconds(800), now + milliseconds(300)},
            now)
        .Status;
  };
  cr_assert(offer(1) == AdmissionStatus::Start);
  now += seconds(3);
  queue.finished(1, true, now);
  Ticket id = 1;
  int started = 0;
  for (const auto end = now + seconds(4); now < end; now += milliseconds(50)) {
    if (offer(++id) != AdmissionStatus::Start)
      continue;
    ++started;
    queue.finished(id, true, now + milliseconds(20));
  }
  cr_assert_geq(started, 30, "%d orders started", started);
}

// While a work class keeps taking too long, only few of its orders are
// admitted.
Test(OrderQueue, KeepsRefusingSlowWork) {
  OrderQueue queue;
  queue.setSlots(2);
  TimePoint now{seconds(100)};
  int started = 0;
  for (Ticket id = 1; id <= 400; ++id, now += milliseconds(50)) {
    const auto decision = queue.offer(
        {id, "work", 0, now + milliseconds(800), now + milliseconds(300)}, now);
    if (decision.Status != AdmissionStatus::Start)
      continue;
    ++started;
    queue.finished(id, true, now + milliseconds(1500));
  }
  cr_assert_leq(started, 20, "%d orders started", started);
}

Test(OrderQueue, RefusesAllWithoutSlots) {
  OrderQueue queue;
  const TimePoint now{};
  const auto decision = queue.offer(
      {1, "work", 0, now + milliseconds(100), now + milliseconds(100)}, now);
  cr_assert(decision.Status == AdmissionStatus::Refused);
  cr_assert(decision.Reason == core::ErrorKind::NoUpstream);
}

struct TypicalRow {
  const char *Name;
  /// Orders that the node has measured, and their service time.
  int Measured;
  core::Duration MeasuredTime;
  /// On the other nodes.
  core::Duration Typical;
};

const TypicalRow TypicalRows[] = {
    {"no order measured", 0, {}, milliseconds(390)},
    {"two short orders measured", 2, milliseconds(9), milliseconds(390)},
    {"enough orders measured", 40, milliseconds(390), milliseconds(390)},
    {"other nodes are faster", 40, milliseconds(390), milliseconds(40)},
    {"nothing known of other nodes", 40, milliseconds(390), {}},
};

// A node that had little work is given keys that become hot, and all requests
// that waited for them come at once. What it admits ends by its deadline.
ACACIA_TABLE_TEST(OrderQueue, AdmitsWhatCanEndInTime, TypicalRows) {
  constexpr core::Duration ServiceTime = milliseconds(390);
  constexpr std::uint32_t Slots = 7;
  OrderQueue queue;
  queue.setSlots(Slots);
  queue.setTypicalServiceTime(row.Typical);
  TimePoint now{};
  Ticket id = 0;
  for (int n = 0; n < row.Measured; ++n) {
    queue.offer({++id, "work", 0, now + seconds(2), now + seconds(2)}, now);
    now += row.MeasuredTime;
    queue.finished(id, true, now);
  }
  std::vector<std::pair<TimePoint, Ticket>> running;
  for (int n = 0; n < 300; ++n) {
    const auto decision = queue.offer(
        {++id, "work", 0, now + seconds(2), now + milliseconds(1300)}, now);
    if (decision.Status == AdmissionStatus::Start)
      running.emplace_back(now + ServiceTime, id);
  }
  const TimePoint deadline = now + seconds(2);
  int late = 0;
  while (!running.empty()) {
    now = running.front().first;
    late += now > deadline ? 1 : 0;
    queue.finished(running.front().second, true, now);
    running.erase(running.begin());
    for (const Dequeued &it : queue.advance(now)) {
      if (it.Status == AdmissionStatus::Start)
        running.emplace_back(now + ServiceTime, it.Id);
      else
        ++late;
    }
  }
  cr_assert_eq(late, 0, "%s: %d", row.Name, late);
}

Test(OrderQueue, LimitsRateOfColdUpstream) {
  OrderQueue queue;
  queue.setSlots(100);
  queue.setColdStartRate(3);
  const TimePoint now{};
  int started = 0;
  for (Ticket id = 1; id <= 10; ++id)
    if (queue
            .offer({id, "work", 0, now + milliseconds(500),
                    now + milliseconds(500)},
                   now)
            .Status == AdmissionStatus::Start)
      ++started;
  cr_assert_eq(started, 3);
}

ACACIA_TABLE_TEST(SlidingWindowLimiter, HoldsInAnySecond, RateRows) {
  SlidingWindowLimiter limiter;
  limiter.setLimit(row.Limit);
  std::vector<TimePoint> starts;
  TimePoint now{};
  for (int n = 0; n < 1000; ++n) {
    if (limiter.isAllowed(now)) {
      limiter.started(now);
      starts.push_back(now);
    }
    now += milliseconds(std::max(1, row.IntervalMs));
  }
  for (std::size_t n = row.Limit; n < starts.size(); ++n)
    cr_assert_geq((starts[n] - starts[n - row.Limit]).count(),
                  core::Duration(std::chrono::seconds(1)).count(), "%s",
                  row.Name);
  cr_assert_gt(starts.size(), 0U);
}

Test(SlidingWindowLimiter, CountsStartsWhileUnlimited) {
  SlidingWindowLimiter limiter;
  const TimePoint now{};
  for (int n = 0; n < 50; ++n)
    limiter.started(now);
  limiter.setLimit(10);
  cr_assert_not(limiter.isAllowed(now + milliseconds(900)));
  cr_assert(limiter.isAllowed(now + milliseconds(1100)));
}

namespace {

struct GrowthRow {
  const char *Name;
  /// Requests a second before, and in the interval that is looked at.
  int Before;
  int Now;
  double From;
  double To;
};

const GrowthRow GrowthRows[] = {
    {"steady", 100, 100, 1, 1},
    {"a burst of all requests", 40, 64, 1, 1},
    {"few requests, by chance", 8, 24, 1, 1},
    {"keys that became hot", 40, 640, 2.5, 5},
    {"from nothing", 0, 400, 2.5, 8},
};

} // namespace

// The load of keys that became hot within the last interval is told in full.
ACACIA_TABLE_TEST(KeyLoad, TellsGrowth, GrowthRows) {
  KeyLoad load(64);
  TimePoint now{};
  load.decay(now);
  const auto play = [&](int perSecond) {
    for (int n = 0; n < perSecond / 4; ++n)
      load.recordRequest(static_cast<std::uint32_t>(n % 64));
    now += milliseconds(250);
    load.decay(now);
  };
  for (int n = 0; n < 20; ++n)
    play(row.Before);
  play(row.Now);
  cr_assert(row.From <= load.growth() && load.growth() <= row.To, "%s: %f",
            row.Name, load.growth());
  const double told = load.rateOfRange(0, 63) * load.growth();
  if (row.From > 1)
    cr_assert_geq(told, row.Now * 0.7, "%s: %f", row.Name, told);
}

Test(KeyLoad, FollowsRates) {
  KeyLoad load(64);
  TimePoint now{};
  load.decay(now);
  for (int n = 0; n < 500; ++n) {
    load.recordRequest(KeyLoad::KeysPerBucket);
    now += milliseconds(10);
    load.decay(now);
  }
  cr_assert_float_eq(load.rates()[1], 100.0, 5.0);
  cr_assert_float_eq(load.rates()[0], 0.0, 1e-9);
}
