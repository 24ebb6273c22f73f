#include "Upstream/TransferGate.h"

#include <chrono>
#include <string>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::upstream;
using core::TimePoint;
using std::chrono::milliseconds;

namespace {

/// A sequence of steps at intervals of 10 ms: a offers a body of 60 KB, f
/// finishes the oldest running one 200 ms later, w waits for 2 s, c cancels the
/// last one offered. Outcome has a letter for each offer (s started, q queued,
/// r refused) and the ticket of each body that starts from the queue.
struct GateRow {
  const char *Name;
  const char *Steps;
  const char *Outcome;
};

// At 10 Mbit/s, 60 KB take 48 ms: one body runs and two wait.
const GateRow GateRows[] = {
    {"one runs at a time", "aaa", "sqq"},
    {"two wait, the rest are refused", "aaaaa", "sqqrr"},
    {"waiting bodies start in FIFO order", "aaaff", "sqq23"},
    {"a cancelled body frees its place", "aaacaa", "sqqqr"},
    {"a body that times out frees its place", "awa", "ss"},
};

} // namespace

ACACIA_TABLE_TEST(TransferGate, LetsIn, GateRows) {
  constexpr std::uint64_t Bytes = 60'000;
  TransferGate gate;
  TimePoint now = TimePoint() + std::chrono::seconds(10);
  Ticket last = 0;
  Ticket oldest = 1;
  std::string out;
  for (const char *it = row.Steps; *it != '\0'; ++it) {
    now += milliseconds(10);
    if (*it == 'a') {
      const AdmissionStatus status = gate.ask(++last, Bytes, now);
      out += status == AdmissionStatus::Start    ? 's'
             : status == AdmissionStatus::Queued ? 'q'
                                                 : 'r';
    } else if (*it == 'f') {
      now += milliseconds(200);
      gate.finished(oldest++, now);
    } else if (*it == 'c') {
      gate.cancel(last);
    } else {
      now += std::chrono::seconds(2);
    }
    for (const Ticket id : gate.advance(now))
      out += std::to_string(id);
  }
  cr_assert_eq(out, row.Outcome, "%s: outcome is %s", row.Name, out.c_str());
}

// The rate of a fast network is learned from the transfer times.
Test(TransferGate, LearnsTheRate) {
  TransferGate gate;
  TimePoint now = TimePoint() + std::chrono::seconds(10);
  Ticket id = 0;
  for (int n = 0; n < 4; ++n) {
    cr_assert(gate.ask(++id, 60'000, now) == AdmissionStatus::Start);
    now += milliseconds(3);
    gate.finished(id, now);
  }
  // 20 MB/s: 1.6 MB in 80 ms.
  for (int n = 0; n < 26; ++n)
    cr_assert(gate.ask(++id, 60'000, now) == AdmissionStatus::Start, "offer %d",
              n);
}
