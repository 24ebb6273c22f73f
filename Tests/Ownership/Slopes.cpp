/// \file
/// Benchmark: compares churn and imbalance of the placement with modulo and
/// rendezvous hashing, and measures how the cost of applying records grows with
/// the size of the fleet.

#include <algorithm>
#include <ctime>
#include <functional>
#include <vector>

#include <fmt/core.h>
#include <malloc.h>

#include "Ownership/FleetMap.h"
#include "Ownership/OwnershipAgent.h"
#include "Ownership/WitnessPolicy.h"

using namespace acaciaroad;
using namespace acaciaroad::ownership;
using core::InstanceId;

namespace {

constexpr char Service[] = "catalogue";

using Owners = std::vector<InstanceId>;

/// Returns a pseudo-random id that is the same in each run.
InstanceId idOf(std::uint64_t n) { return {core::hashOf("instance", n) | 1U}; }

double cpuMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

/// Calls \p act \p count times and returns the mean CPU time per call in
/// microseconds.
double microsecondsOf(std::size_t count,
                      const std::function<void(std::size_t)> &act) {
  const double start = cpuMicroseconds();
  for (std::size_t n = 0; n < count; ++n)
    act(n);
  return (cpuMicroseconds() - start) / static_cast<double>(count);
}

InstanceInfo infoOf(std::uint64_t n) {
  InstanceInfo info;
  info.Id = idOf(n);
  info.Name = fmt::format("node-{}", n);
  info.DataCentre = fmt::format("dc-{}", n % 20);
  info.Rack = fmt::format("rack-{}", n / 20 % 50);
  info.PeerAddress = "10.100.100.100:7001";
  info.HttpAddress = "10.100.100.100:8001";
  info.Service = Service;
  return info;
}

/// A fleet of \p nodes with \p slices slices.
FleetMap fleetOf(std::uint64_t nodes, std::uint32_t slices,
                 core::Offset &offset) {
  FleetMap map;
  (void)map.apply(ServiceDefined{Service, slices}, offset++);
  (void)map.apply(ServiceDefined{std::string(AccountsService), 16'384},
                  offset++);
  for (std::uint64_t n = 0; n < nodes; ++n) {
    std::vector<InstanceId> witnesses;
    for (std::uint64_t w = 1; w <= 3 && w <= n; ++w)
      witnesses.push_back(idOf(n - w));
    (void)map.apply(InstanceJoined{infoOf(n), witnesses}, offset++);
  }
  // Record the start of all slices, so that none waits for a predecessor.
  for (std::uint64_t n = 0; n < nodes; ++n) {
    SlicesStarted started{idOf(n), {}};
    for (const SliceRef it : map.slicesOf(idOf(n)))
      started.Slices.push_back({map.idOf(it), map.slice(it)->Epoch});
    (void)map.apply(started, offset++);
  }
  return map;
}

// Churn and imbalance -------------------------------------------------------

Owners modulo(const std::vector<InstanceId> &live, std::uint32_t slices) {
  Owners out;
  for (std::uint32_t n = 0; n < slices; ++n)
    out.push_back(live[n % live.size()]);
  return out;
}

Owners rendezvous(const std::vector<InstanceId> &live, std::uint32_t slices) {
  Owners out;
  for (std::uint32_t n = 0; n < slices; ++n)
    out.push_back(*std::max_element(
        live.begin(), live.end(), [n](InstanceId a, InstanceId b) {
          const auto weight = [n](InstanceId it) {
            return core::hashOf(core::toString(it), n);
          };
          return weight(a) < weight(b);
        }));
  return out;
}

Owners ownersIn(const FleetMap &map) {
  Owners out;
  const ServiceSlices *service = map.service(Service);
  for (std::uint32_t n = 0; n < service->sliceCount(); ++n)
    out.push_back(service->find(n)->Owner);
  return out;
}

std::size_t moved(const Owners &a, const Owners &b) {
  std::size_t out = 0;
  for (std::size_t n = 0; n < a.size(); ++n)
    out += a[n] != b[n] ? 1 : 0;
  return out;
}

double imbalance(Owners owners, std::size_t live) {
  std::sort(owners.begin(), owners.end());
  std::size_t most = 0;
  for (auto it = owners.begin(); it != owners.end();) {
    const auto end = std::upper_bound(it, owners.end(), *it);
    most = std::max<std::size_t>(most, end - it);
    it = end;
  }
  return static_cast<double>(most * live) / static_cast<double>(owners.size());
}

void printRow(const char *name, std::uint64_t nodes, const Owners &before,
              const Owners &joined, const Owners &lost) {
  fmt::print("{:10} {:6} {:7} {:12} {:12} {:14.2f} {:14.2f}\n", name, nodes,
             before.size(), moved(before, joined), moved(before, lost),
             imbalance(before, nodes), imbalance(lost, nodes - 1));
}

void compare(std::uint64_t nodes, std::uint32_t slices) {
  std::vector<InstanceId> live;
  for (std::uint64_t n = 0; n < nodes; ++n)
    live.push_back(idOf(n));
  std::vector<InstanceId> more = live;
  more.push_back(idOf(nodes));
  std::vector<InstanceId> fewer(live.begin() + 1, live.end());
  core::Offset offset = 1;
  FleetMap map = fleetOf(nodes, slices, offset);
  const Owners before = ownersIn(map);
  FleetMap joined = FleetMap::fromSnapshot(map.snapshot()).value();
  (void)joined.apply(InstanceJoined{infoOf(nodes), {}}, offset);
  (void)map.apply(InstanceRetired{idOf(0), 0, RetireReason::DeclaredLost, {}},
                  offset);
  printRow("fold", nodes, before, ownersIn(joined), ownersIn(map));
  printRow("rendezvous", nodes, rendezvous(live, slices),
           rendezvous(more, slices), rendezvous(fewer, slices));
  printRow("modulo", nodes, modulo(live, slices), modulo(more, slices),
           modulo(fewer, slices));
}

// Costs ---------------------------------------------------------------------

void printCosts(std::uint64_t nodes, std::uint32_t slicesOfNode) {
  const auto slices = static_cast<std::uint32_t>(nodes) * slicesOfNode;
  const std::size_t heapBefore = mallinfo2().uordblks;
  core::Offset offset = 1;
  FleetMap map = fleetOf(nodes, slices, offset);
  const std::size_t heap = mallinfo2().uordblks - heapBefore;
  FleetView view = map.share();
  constexpr std::size_t Repeats = 100;
  const double join = microsecondsOf(Repeats, [&](std::size_t n) {
    (void)map.apply(InstanceJoined{infoOf(nodes + n), {}}, offset++);
  });
  const double retire = microsecondsOf(Repeats, [&](std::size_t n) {
    (void)map.apply(
        InstanceRetired{idOf(nodes + n), 0, RetireReason::DeclaredLost, {}},
        offset++);
  });
  const double share = microsecondsOf(Repeats, [&](std::size_t n) {
    (void)map.apply(InstanceJoined{infoOf(2 * nodes + n), {}}, offset++);
    view = map.share();
  });
  const double choose = microsecondsOf(Repeats, [&](std::size_t n) {
    (void)chooseWitnesses(map, infoOf(n), {}, {});
  });
  std::uint64_t found = 0;
  const double lookup = microsecondsOf(200'000, [&](std::size_t n) {
    found += view.ownerOf(Service, n * 0x9E3779B97F4A7C15U)->Epoch;
  });
  fmt::print("{:6} {:8} {:9.1f} {:9.1f} {:13.1f} {:10.1f} {:10.3f} {:9.2f} "
             "{:11.0f}{}\n",
             nodes, slices, join, retire, share, choose, lookup,
             static_cast<double>(heap) / 1e6,
             static_cast<double>(heap) / static_cast<double>(nodes),
             found == 0 ? "?" : "");
}

/// Prints the messages and ticks per second of one agent in steady state.
void printAgentActivity() {
  std::uint64_t sent = 0;
  std::uint64_t ticks = 0;
  std::unique_ptr<OwnershipAgent> agent;
  core::TimePoint now{std::chrono::hours(1)};
  core::Offset offset = 1;
  std::vector<std::pair<InstanceId, LeaseAsk>> asks;
  AgentHooks hooks;
  hooks.Changed = [] {};
  hooks.Append = [](const OwnershipRecord &) {};
  hooks.Send = [&](InstanceId to, const ControlMessage &message) {
    ++sent;
    if (const auto *ask = std::get_if<LeaseAsk>(&message))
      asks.emplace_back(to, *ask);
  };
  agent = OwnershipAgent::create({}, infoOf(0), hooks).value();
  agent->join(now);
  for (std::uint64_t n = 1; n <= 3; ++n)
    agent->onRecord(InstanceJoined{infoOf(n), {idOf(0)}}, offset++, now);
  agent->onRecord(InstanceJoined{infoOf(0), {idOf(1), idOf(2), idOf(3)}},
                  offset++, now);
  constexpr int Seconds = 100;
  const core::TimePoint end = now + std::chrono::seconds(Seconds);
  const double start = cpuMicroseconds();
  while (now < end) {
    now = agent->onTick(now);
    ++ticks;
    for (const auto &[to, ask] : std::exchange(asks, {})) {
      agent->onMessage(to, LeasePromise{idOf(0), ask.AskedAt, offset - 1}, now);
      agent->onMessage(to, LeaseAsk{idOf(0), core::toNanoseconds(now), 1, 200},
                       now);
    }
    agent->onLogReachable(true, now);
  }
  fmt::print("one agent, three witnesses, witness of three: {} messages/s "
             "sent, {} ticks/s, {:.1f} us of CPU/s\n",
             sent / Seconds, ticks / Seconds,
             (cpuMicroseconds() - start) / Seconds);
}

} // namespace

int main() {
  fmt::print("{:10} {:>6} {:>7} {:>12} {:>12} {:>14} {:>14}\n", "placement",
             "nodes", "slices", "moved: join", "moved: loss", "max/mean before",
             "after a loss");
  for (const std::uint64_t nodes : {5U, 20U, 200U, 500U})
    compare(nodes, static_cast<std::uint32_t>(nodes) * 16);
  fmt::print("\nCPU microseconds a record, slices a node 16\n");
  fmt::print("{:>6} {:>8} {:>9} {:>9} {:>13} {:>10} {:>10} {:>9} {:>11}\n",
             "nodes", "slices", "join", "retire", "join+publish", "witnesses",
             "lookup", "heap MB", "B a node");
  for (const std::uint64_t nodes : {1000U, 3000U, 6500U, 13000U})
    printCosts(nodes, 16);
  fmt::print("\n");
  printAgentActivity();
  return 0;
}
