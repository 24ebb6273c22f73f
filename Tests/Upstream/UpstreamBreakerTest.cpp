#include "Upstream/UpstreamBreaker.h"

#include "Support/Table.h"
#include "Upstream/OrderQueue.h"

using namespace acaciaroad;
using namespace acaciaroad::upstream;
using core::TimePoint;
using std::chrono::milliseconds;

namespace {

struct OutageRow {
  const char *Name;
  /// The upstream resets every order from Begin to End, in milliseconds.
  int Begin;
  int End;
  /// One order in this many fails at other times; 0 for none.
  int FailsOneIn;
  /// Orders that may be lost in the outage.
  int MostLost;
  /// Milliseconds after the end of the outage by which orders are served again.
  int Recovered;
};

// 1,000 orders a second arrive, which the upstream serves in 2 ms each.
const OutageRow OutageRows[] = {
    {"sound", 0, 0, 0, 0, 0},
    {"sound, but one order in ten fails", 0, 0, 10, 0, 1},
    {"1.4 s of resets", 500, 1900, 0, 12, 420},
    {"two outages in a row are one", 500, 2900, 0, 14, 420},
    {"a short reset of all connections", 500, 510, 0, 10, 120},
};

} // namespace

// An upstream that resets all connections loses few orders, and gets its load
// back soon.
ACACIA_TABLE_TEST(UpstreamBreaker, LimitsLossInOutages, OutageRows) {
  UpstreamBreaker breaker;
  TimePoint begin{};
  int lost = 0;
  int served = 0;
  int firstServed = -1;
  for (int ms = 0; ms < 4000; ++ms) {
    const TimePoint now = begin + milliseconds(ms);
    if (now < breaker.pausedUntil())
      continue;
    const bool isOut = row.Begin <= ms && ms < row.End;
    const bool fails = row.FailsOneIn != 0 && ms % row.FailsOneIn == 0;
    if (isOut || fails) {
      lost += isOut ? 1 : 0;
      breaker.failed(now);
      continue;
    }
    breaker.answered();
    ++served;
    if (ms >= row.End && firstServed < 0)
      firstServed = ms;
  }
  cr_assert_leq(lost, row.MostLost, "%s: %d lost", row.Name, lost);
  cr_assert_leq(firstServed - row.End, row.Recovered,
                "%s: served from %d ms on", row.Name, firstServed);
  cr_assert_gt(served, 1000, "%s: %d served", row.Name, served);
}

Test(UpstreamBreaker, QueueSendsOneAtATime) {
  OrderQueue queue;
  queue.setSlots(9);
  const TimePoint now{};
  const TimePoint late = now + std::chrono::seconds(5);
  queue.pauseUntil(now + milliseconds(100));
  queue.setProbing(true);
  for (Ticket id = 1; id <= 4; ++id)
    cr_assert(queue.offer({id, "work", 0, late, late}, now).Status ==
              AdmissionStatus::Queued);
  cr_assert(queue.advance(now + milliseconds(99)).empty());
  cr_assert_eq(queue.advance(now + milliseconds(100)).size(), 1U);
  queue.setProbing(false);
  cr_assert_eq(queue.advance(now + milliseconds(101)).size(), 3U);
}
