#include "Programs/Load/Schedule.h"

#include <algorithm>

namespace acaciaroad::load {

namespace {

double secondsOf(core::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

bool concerns(const Phase &phase, const Flow &flow) {
  return phase.Account.value_or(flow.Account) == flow.Account &&
         phase.Class.value_or(flow.Class) == flow.Class;
}

} // namespace

Schedule::Schedule(const Experiment &experiment) : Plan(experiment) {
  for (const WorkClass &it : Plan.Classes)
    Samplers.emplace_back(it);
  for (const Account &it : Plan.Accounts)
    Buckets.push_back({it.Burst, core::Duration::zero()});
  for (std::size_t n = 0; n < Plan.Flows.size(); ++n) {
    std::seed_seq seed{Plan.Seed, static_cast<std::uint64_t>(n)};
    Random.emplace_back(seed);
    arrive(n, core::Duration::zero());
  }
}

std::optional<Shot> Schedule::next() {
  if (Arrivals.empty())
    return std::nullopt;
  const Arrival arrival = Arrivals.top();
  Arrivals.pop();
  arrive(arrival.Flow, arrival.Time);
  const Flow &flow = Plan.Flows[arrival.Flow];
  std::mt19937_64 &random = Random[arrival.Flow];
  Shot out;
  out.Number = Number++;
  out.Time = arrival.Time;
  out.Flow = arrival.Flow;
  out.Key = Samplers[flow.Class].draw(random, arrival.Time);
  out.Target = random() % Plan.Targets.size();
  out.IsWithinRate = takeCredit(flow.Account, arrival.Time);
  return out;
}

double Schedule::factorAt(const Flow &flow, core::Duration time) const {
  double out = 1;
  for (const Phase &it : Plan.Phases)
    if (concerns(it, flow) && time >= it.Start && time < it.Start + it.Length)
      out *= it.Factor;
  return out;
}

double Schedule::largestFactor(const Flow &flow) const {
  double out = 1;
  for (const Phase &it : Plan.Phases)
    if (concerns(it, flow))
      out *= std::max(1.0, it.Factor);
  return out;
}

void Schedule::arrive(std::size_t flow, core::Duration after) {
  const Flow &plan = Plan.Flows[flow];
  const double largest = largestFactor(plan);
  std::mt19937_64 &random = Random[flow];
  std::exponential_distribution<double> gap(plan.Rate * largest);
  std::uniform_real_distribution<double> share(0, 1);
  // Thinning: arrivals at the largest rate, of which some are dropped.
  core::Duration time = after;
  do {
    time += std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(gap(random)));
    if (time >= Plan.Length)
      return;
  } while (share(random) * largest >= factorAt(plan, time));
  Arrivals.push({time, flow});
}

bool Schedule::takeCredit(std::size_t account, core::Duration time) {
  const Account &plan = Plan.Accounts[account];
  Bucket &bucket = Buckets[account];
  bucket.Level = std::min(
      plan.Burst, bucket.Level + plan.Rate * secondsOf(time - bucket.Time));
  bucket.Time = time;
  if (bucket.Level < 1)
    return false;
  bucket.Level -= 1;
  return true;
}

} // namespace acaciaroad::load
