/// \file
/// Compares the load decisions with simpler ones on a virtual clock, and prints
/// one table for each comparison.

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "Accounts/CreditFleet.h"
#include "StragglerModel.h"
#include "Upstream/UpstreamModel.h"

using namespace acaciaroad;
using namespace acaciaroad::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t Slots = 12;

double quantile(std::vector<core::Duration> &values, double q) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto n =
      static_cast<std::size_t>(q * static_cast<double>(values.size()));
  return static_cast<double>(values[std::min(n, values.size() - 1)].count()) /
         1e6;
}

void printStragglers(const char *name, bench::StragglerPolicy policy) {
  EventLoop loop;
  Random random(1);
  bench::StragglerModel model(loop, random, policy);
  bench::StragglerResult result = model.run(seconds(60));
  fmt::print("{:<28}{:>9.1f}{:>9.1f}{:>9.1f}{:>12.3f}\n", name,
             quantile(result.Latencies, 0.5), quantile(result.Latencies, 0.99),
             quantile(result.Latencies, 0.999),
             static_cast<double>(result.Attempts) /
                 static_cast<double>(result.Requests));
}

void stragglers() {
  fmt::print("\nStragglers: 4 upstreams, one at a time 10 times slower\n");
  fmt::print("{:<28}{:>9}{:>9}{:>9}{:>12}\n", "policy", "p50 ms", "p99 ms",
             "p999 ms", "attempts");
  printStragglers("random, no hedging", {false, false});
  printStragglers("random, hedging", {false, true});
  printStragglers("two choices, no hedging", {true, false});
  printStragglers("two choices, hedging", {true, true});
}

void printTenant(const char *name, bool isFair) {
  EventLoop loop;
  Random random(2);
  UpstreamModel model(loop, random, {});
  model.warmUp();
  AdmissionDriver driver(loop, model, {64, 256});
  driver.announce(Slots);
  const core::TimePoint end = loop.now() + seconds(60);
  const std::string queue = isFair ? "" : "all";
  driver.stream(random, "tenant", 4500, milliseconds(250), end, queue);
  for (int n = 0; n < 7; ++n)
    driver.stream(random, "small" + std::to_string(n), 900.0 / 7,
                  milliseconds(250), end, queue);
  loop.runUntil(loop.now() + seconds(10));
  for (auto &[account, tally] : driver.Tallies)
    tally = AccountTally();
  loop.runUntil(end + seconds(1));
  double worstP99 = 0;
  double worstServed = 1;
  for (auto &[account, tally] : driver.Tallies) {
    if (account == "tenant")
      continue;
    worstP99 = std::max(worstP99, quantile(tally.Latencies, 0.99));
    worstServed = std::min(worstServed,
                           static_cast<double>(tally.Served) / tally.Offered);
  }
  fmt::print("{:<28}{:>12.2f}{:>16.1f}\n", name, 100 * worstServed, worstP99);
}

void tenant() {
  fmt::print(
      "\nOne tenant at five times its rate, seven others within theirs\n");
  fmt::print("{:<28}{:>12}{:>16}\n", "queue", "served %", "worst p99 ms");
  printTenant("first come first served", false);
  printTenant("fair by account", true);
}

void printColdStart(const char *name, UpstreamTraits traits, bool isRamped) {
  EventLoop loop;
  Random random(3);
  UpstreamModel model(loop, random, traits);
  AdmissionDriver driver(loop, model);
  const core::TimePoint start = loop.now();
  const core::TimePoint end = start + seconds(120);
  if (!isRamped) {
    // An admission that is warm already, before an upstream that turns cold.
    model.warmUp();
  }
  driver.announce(Slots);
  driver.stream(random, "a", 6000, seconds(1), end);
  if (!isRamped) {
    loop.runUntil(loop.now() + seconds(30));
    model.restart();
    model.Overloads = 0;
    model.PeakExcess = 0;
  }
  const std::uint32_t before = driver.Tallies["a"].Served;
  const core::TimePoint from = loop.now();
  loop.runUntil(from + seconds(30));
  const std::uint32_t sent = driver.Tallies["a"].Served - before;
  fmt::print("{:<34}{:>10}{:>12}{:>10}\n", name, sent, model.Overloads,
             model.PeakExcess);
}

/// Sends up to the slots at once, whatever the upstream's state.
void printNoRamp(const char *name, UpstreamTraits traits) {
  EventLoop loop;
  Random random(3);
  UpstreamModel model(loop, random, traits);
  const core::TimePoint end = loop.now() + seconds(30);
  std::uint32_t sent = 0;
  std::function<void()> next = [&] {
    if (loop.now() >= end)
      return;
    ++sent;
    model.send([&](core::Duration) { next(); });
  };
  for (std::uint32_t n = 0; n < Slots; ++n)
    next();
  loop.runUntil(end);
  fmt::print("{:<34}{:>10}{:>12}{:>10}\n", name, sent, model.Overloads,
             model.PeakExcess);
}

void coldStart() {
  UpstreamTraits byTime;
  UpstreamTraits byWork;
  byWork.WarmAfterOrders = 4000;
  fmt::print("\nCold start, first 30 s under twice the capacity\n");
  fmt::print("{:<34}{:>10}{:>12}{:>10}\n", "upstream and policy", "orders",
             "overloads", "excess");
  printNoRamp("warms over 10 s, no ramp", byTime);
  printColdStart("warms over 10 s, ramp", byTime, true);
  printColdStart("warms over 10 s, silent return", byTime, false);
  printNoRamp("warms over 4000 orders, no ramp", byWork);
  printColdStart("warms over 4000 orders, ramp", byWork, true);
  printColdStart("warms over 4000, silent return", byWork, false);
}

constexpr std::size_t Nodes = 12;

std::vector<ModelAccount> accountsAt(double factor) {
  std::vector<ModelAccount> out;
  for (int n = 0; n < 8; ++n) {
    const std::int64_t rate = n < 2 ? 400 : 20 + 10 * n;
    out.push_back({"account" + std::to_string(n), rate, rate / 2,
                   static_cast<double>(rate) * factor, n % 2 == 0 ? 0.5 : 2.0});
  }
  return out;
}

void printStaticSplit(double factor) {
  EventLoop loop;
  Random random(4);
  CreditCounts sum;
  for (const ModelAccount &it : accountsAt(factor)) {
    std::vector<RateChecker> nodes;
    // A twelfth of rate and burst each, in units of a twelfth of a request.
    for (std::size_t n = 0; n < Nodes; ++n)
      nodes.emplace_back(it.PerSecond, it.Burst);
    RateChecker whole(it.PerSecond, it.Burst);
    core::TimePoint now = loop.now();
    const core::TimePoint end = now + seconds(60);
    const core::Duration mean(static_cast<std::int64_t>(1e9 / it.Offered));
    while ((now += random.exponential(mean)) < end) {
      ++sum.Offered;
      const bool isIdeal = whole.takeIfWithinRate(now);
      RateChecker &own = nodes[CreditFleet::chooseNode(random, Nodes, it.Skew)];
      const bool isTaken = own.takeIfWithinRate(now, Nodes);
      sum.Taken += isTaken ? 1U : 0U;
      sum.Wrongful += isIdeal && !isTaken ? 1U : 0U;
    }
  }
  fmt::print("{:<10.2f}{:<20}{:>10}{:>10}{:>12}{:>10.2f}\n", factor,
             "static split", sum.Offered, sum.Taken, sum.Wrongful, 0.0);
}

void printCredit(double factor) {
  EventLoop loop;
  Random random(4);
  CreditFleet fleet(loop, random, Nodes, accountsAt(factor), {});
  loop.runUntil(loop.now() + seconds(2));
  fleet.run(loop.now() + seconds(60));
  const CreditCounts sum = fleet.total();
  fmt::print("{:<10.2f}{:<20}{:>10}{:>10}{:>12}{:>10.2f}\n", factor, "credit",
             sum.Offered, sum.Taken, sum.Wrongful,
             static_cast<double>(fleet.messages()) /
                 static_cast<double>(sum.Offered));
}

void wrongfulRefusals() {
  fmt::print("\nWrongful refusals: 12 nodes, 8 accounts, skewed arrival\n");
  fmt::print("{:<10}{:<20}{:>10}{:>10}{:>12}{:>10}\n", "of rate", "policy",
             "offered", "taken", "wrongful", "messages");
  for (const double factor : {0.5, 0.8, 0.95, 1.5}) {
    printStaticSplit(factor);
    printCredit(factor);
  }
}

} // namespace

int main() {
  stragglers();
  tenant();
  coldStart();
  wrongfulRefusals();
  return 0;
}
