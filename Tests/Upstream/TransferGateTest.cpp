#include "Upstream/TransferGate.h"

#include <chrono>
#include <string>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::upstream;
using core::TimePoint;
using std::chrono::milliseconds;

namespace {

/// What happens one after the other, each 10 ms after the former: a asks for
/// 60 KB, f finishes the oldest one that runs, w waits for 2 s, c the last one
/// that asked gives up. The outcome of each ask: s start, q queued, r refused;
/// a number for each one that starts from the queue.
struct GateRow {
  const char *Name;
  const char *Steps;
  const char *Outcome;
};

// 10 Mbit/s take 60 KB in 48 ms: one runs, two wait.
const GateRow GateRows[] = {
    {"one at a time", "aaa", "sqq"},
    {"a few wait, the rest are refused", "aaaaa", "sqqrr"},
    {"in the order of their coming", "aaaff", "sqq23"},
    {"one that gives up makes room", "aaacaa", "sqqqr"},
    {"one that never comes makes room", "awa", "ss"},
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
  cr_assert_eq(out, row.Outcome, "%s: %s", row.Name, out.c_str());
}

// A wide network is found out by the time that bodies take.
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
    cr_assert(gate.ask(++id, 60'000, now) == AdmissionStatus::Start, "%d", n);
}
