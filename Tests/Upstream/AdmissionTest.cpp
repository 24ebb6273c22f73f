#include "Upstream/Admission.h"

#include <algorithm>
#include <string>

#include "Support/Table.h"
#include "Upstream/UpstreamModel.h"

using namespace acaciaroad;
using namespace acaciaroad::tests;
using core::ErrorKind;
using std::chrono::milliseconds;
using std::chrono::seconds;
using upstream::AdmissionStatus;
using upstream::Outcome;

namespace {

constexpr std::uint32_t Slots = 12;

/// One call of an Admission that starts out warm, with 12 slots.
struct Call {
  enum class Kind { Announce, Remove, Drain, Outcome };
  Kind Action;
  std::uint32_t Slots = 12;
  std::uint64_t BootId = 1;
  bool Cold = false;
  upstream::Outcome OrderOutcome = Outcome::Ok;
};

struct LimitRow {
  const char *Name;
  std::vector<Call> Calls;
  std::uint32_t Limit;
};

using K = Call::Kind;

const LimitRow LimitRows[] = {
    {"stays at the slots while warm", {}, 12},
    {"an announcement of fewer slots lowers the limit", {{K::Announce, 5}}, 5},
    {"more slots than verified start a new ramp", {{K::Announce, 40}}, 1},
    {"verified slots are restored without a ramp",
     {{K::Announce, 5}, {K::Announce}},
     12},
    {"a new boot id starts a cold start", {{K::Announce, 12, 2}}, 1},
    {"an announced cold start starts the ramp",
     {{K::Announce, 12, 1, true}},
     1},
    {"announcing warm does not end a cold start",
     {{K::Announce, 12, 2, true}, {K::Announce, 12, 2, false}},
     1},
    {"a repeated announcement changes nothing",
     {{K::Announce}, {K::Announce}},
     12},
    {"a removed upstream takes no orders", {{K::Remove}}, 0},
    {"a removed upstream returns cold", {{K::Remove}, {K::Announce}}, 1},
    {"one rejected order decreases the limit",
     {{K::Outcome, 12, 1, false, Outcome::Shed}},
     9},
    {"three rejected orders start a cold start",
     {{K::Outcome, 12, 1, false, Outcome::Shed},
      {K::Outcome, 12, 1, false, Outcome::Shed},
      {K::Outcome, 12, 1, false, Outcome::Shed}},
     1},
    {"one broken connection changes nothing",
     {{K::Outcome, 12, 1, false, Outcome::Failed}},
     12},
    {"two broken connections start a cold start",
     {{K::Outcome, 12, 1, false, Outcome::Failed},
      {K::Outcome, 12, 1, false, Outcome::Failed}},
     1},
    {"cancelled orders change nothing",
     {{K::Outcome, 12, 1, false, Outcome::Cancelled},
      {K::Outcome, 12, 1, false, Outcome::Cancelled}},
     12},
};

/// An Admission that has completed its cold start.
struct WarmAdmission {
  EventLoop Loop;
  Random Source{7};
  UpstreamModel Model{Loop, Source, traits()};
  AdmissionDriver Driver{Loop, Model};

  static UpstreamTraits traits() {
    UpstreamTraits out;
    out.IsExponential = false;
    return out;
  }

  WarmAdmission() {
    Model.warmUp();
    Driver.announce(Slots);
    Driver.stream(Source, "a", 4000, seconds(1), Loop.now() + seconds(30));
    Loop.runUntil(Loop.now() + seconds(40));
  }
};

struct TenantRow {
  const char *Name;
  /// Request rate of the largest tenant, relative to its normal rate.
  double Factor;
  std::uint64_t Seed;
};

const TenantRow TenantRows[] = {
    {"normal rate", 1, 1},
    {"five times the normal rate", 5, 2},
    {"five times the normal rate, other seed", 5, 3},
    {"twenty times the normal rate", 20, 4},
};

struct DeadlineRow {
  const char *Name;
  /// Requests of the same account that wait before the request.
  int Ahead;
  int DeadlineMilliseconds;
  AdmissionStatus Expected;
};

const DeadlineRow DeadlineRows[] = {
    {"queue short enough for the deadline", 24, 20, AdmissionStatus::Queued},
    {"queue too long for the deadline", 240, 20, AdmissionStatus::Refused},
    {"deadline shorter than one service time", 0, 3, AdmissionStatus::Refused},
    {"deadline already passed", 0, -1, AdmissionStatus::Refused},
};

} // namespace

ACACIA_TABLE_TEST(AdmissionTest, limitFollowsObservation, LimitRows) {
  WarmAdmission fixture;
  upstream::Admission &admission = *fixture.Driver.Admission;
  upstream::Ticket next = 1'000'000;
  for (const Call &call : row.Calls) {
    const core::TimePoint now = fixture.Loop.now();
    switch (call.Action) {
    case K::Announce:
      fixture.Driver.announce(call.Slots, call.BootId, call.Cold);
      break;
    case K::Remove:
      admission.removeUpstream(now);
      break;
    case K::Drain:
      admission.beginDrain();
      break;
    case K::Outcome:
      cr_assert(admission.offer({++next, "a", "any", now + seconds(1), {}}, now)
                    .Status == AdmissionStatus::Start);
      admission.finished(next, call.OrderOutcome, milliseconds(4), now);
      break;
    }
  }
  cr_assert_eq(admission.limit(), row.Limit, "%s: limit is %u", row.Name,
               admission.limit());
}

ACACIA_TABLE_TEST(AdmissionTest, busyTenantDoesNotDelayOthers, TenantRows) {
  EventLoop loop;
  Random random(row.Seed);
  UpstreamModel model(loop, random, {});
  model.warmUp();
  AdmissionDriver driver(loop, model, {64, 256});
  driver.announce(Slots);
  // At normal rates, eight accounts use 60 % of the upstream's 3000 orders per
  // second, and the tenant has half of that.
  const core::TimePoint end = loop.now() + seconds(40);
  driver.stream(random, "tenant", 900 * row.Factor, milliseconds(250), end);
  for (int n = 0; n < 7; ++n)
    driver.stream(random, "small" + std::to_string(n), 900.0 / 7,
                  milliseconds(250), end);
  loop.runUntil(loop.now() + seconds(10));
  for (auto &[name, tally] : driver.Tallies)
    tally = AccountTally();
  loop.runUntil(end + seconds(1));
  for (auto &[name, tally] : driver.Tallies) {
    if (name == "tenant")
      continue;
    cr_assert_eq(tally.Refused, 0, "%s: %u requests of %s refused", row.Name,
                 tally.Refused, name.c_str());
    std::sort(tally.Latencies.begin(), tally.Latencies.end());
    const core::Duration p99 =
        tally.Latencies[tally.Latencies.size() * 99 / 100];
    cr_assert(p99 < milliseconds(40), "%s: p99 latency of %s is %ld us",
              row.Name, name.c_str(), static_cast<long>(p99.count() / 1000));
  }
}

ACACIA_TABLE_TEST(AdmissionTest, refusesRequestsThatCannotMeetDeadline,
                  DeadlineRows) {
  WarmAdmission fixture;
  const core::TimePoint now = fixture.Loop.now();
  upstream::Admission &admission = *fixture.Driver.Admission;
  for (upstream::Ticket id = 0; id < Slots; ++id)
    cr_assert(
        admission.offer({1'000'000 + id, "a", "any", now + seconds(9), {}}, now)
            .Status == AdmissionStatus::Start);
  for (int n = 0; n < row.Ahead; ++n)
    admission.offer({2'000'000U + static_cast<unsigned>(n),
                     "a",
                     "any",
                     now + seconds(9),
                     {}},
                    now);
  const upstream::Decision decision = admission.offer(
      {3'000'000, "a", "any", now + milliseconds(row.DeadlineMilliseconds), {}},
      now);
  cr_assert(decision.Status == row.Expected, "%s", row.Name);
  if (decision.Status == AdmissionStatus::Refused)
    cr_assert(decision.Reason == ErrorKind::DeadlineTooShort, "%s", row.Name);
}

// A request that expires in the queue is reported as not run, and its slice
// becomes idle.
Test(AdmissionTest, queuedRequestExpiresAsNotRun) {
  std::vector<ErrorKind> refused;
  auto admission = std::move(
      upstream::Admission::create({}, {[](upstream::Ticket) {},
                                       [&](upstream::Ticket, ErrorKind kind) {
                                         refused.push_back(kind);
                                       }})
          .value());
  const core::TimePoint now(seconds(5));
  admission->setUpstream({"s", "", 1, 1, 1, false, false, false}, now);
  cr_assert(admission->offer({1, "a", "c", now + seconds(9), 3}, now).Status ==
            AdmissionStatus::Start);
  cr_assert(
      admission->offer({2, "a", "c", now + milliseconds(5), 4}, now).Status ==
      AdmissionStatus::Queued);
  cr_assert(!admission->isIdle(3));
  cr_assert(!admission->isIdle(4));
  cr_assert(admission->nextDeadline() == now + milliseconds(5));
  admission->expire(now + milliseconds(5));
  cr_assert(refused == std::vector<ErrorKind>{ErrorKind::DeadlineTooShort});
  cr_assert(core::answerFor(refused[0]).HasRan == core::Ran::No);
  cr_assert(admission->isIdle(4));
  admission->finished(1, Outcome::Ok, milliseconds(4), now);
  cr_assert(admission->isIdle(3));
}

// A mean service time above every deadline must not refuse all later requests.
// Since refused requests update no mean, it would never recover.
Test(AdmissionTest, slowMeanDoesNotRefuseForever) {
  auto admission = std::move(
      upstream::Admission::create(
          {}, {[](upstream::Ticket) {}, [](upstream::Ticket, ErrorKind) {}})
          .value());
  core::TimePoint now(seconds(5));
  admission->setUpstream({"s", "", 1, 4, 4, false, false, false}, now);
  upstream::Ticket id = 0;
  // The first ten orders take far longer than the deadline of 50 ms.
  for (int n = 0; n < 100; ++n) {
    const core::Duration service = n < 10 ? seconds(10) : milliseconds(2);
    cr_assert(
        admission->offer({++id, "a", "c", now + milliseconds(50), {}}, now)
            .Status == AdmissionStatus::Start);
    now += service;
    admission->finished(id, Outcome::Ok, service, now);
  }
}
