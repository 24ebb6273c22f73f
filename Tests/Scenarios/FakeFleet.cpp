#include "Scenarios/FakeFleet.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace acaciaroad::scenarios {

using namespace std::chrono_literals;
using ownership::OwnershipRecord;

namespace {

constexpr std::array<std::uint64_t, 6> Keys = {0, 1, 2, 3, 4, 5};
constexpr Duration PollInterval = 100ms;
constexpr unsigned MaxLinkDelayMs = 8;
constexpr unsigned MaxUpstreamRequestMs = 250;
/// Isolation limit plus an allowance for checks that are still running.
constexpr Duration CutOffLimit = 3s;

} // namespace

std::span<const std::uint64_t> keys() { return Keys; }

FakeFleet::FakeFleet(FleetOptions options)
    : Options(options), Random(options.Seed) {
  if (options.Agent.InjectedFaults.Chain)
    CommittedMap.injectChainFaultForTest();
  commitRecord(ownership::ServiceDefined{Service, options.SliceCount});
  // Few slices, because every node keeps them in its replica of the map.
  commitRecord(
      ownership::ServiceDefined{std::string(ownership::AccountsService), 2});
  if (options.RequestInterval > Duration::zero())
    Clock.after(options.RequestInterval, [this] { generateRequest(); });
}

void FakeFleet::addNode(const std::string &name,
                        const std::string &dataCentre) {
  FakeNode &node = Nodes.emplace_back();
  node.Name = name;
  node.DataCentre = dataCentre;
  node.ClockOffset = std::chrono::hours(1 + pick(1000));
  node.DriftPpm = static_cast<std::int64_t>(pick(10'000)) - 5'000;
}

FakeNode &FakeFleet::node(const std::string &name) {
  const auto it =
      std::find_if(Nodes.begin(), Nodes.end(),
                   [&](const FakeNode &n) { return n.Name == name; });
  if (it == Nodes.end())
    throw std::invalid_argument("unknown node " + name);
  return *it;
}

core::TimePoint FakeFleet::timeOf(const FakeNode &node) const {
  const Duration drift{Clock.now().count() * node.DriftPpm / 1'000'000};
  return core::TimePoint(node.ClockOffset + Clock.now() + drift);
}

Duration FakeFleet::trueTimeOf(const FakeNode &node,
                               core::TimePoint time) const {
  const Duration ahead = time - timeOf(node);
  return Clock.now() + ahead -
         Duration(ahead.count() * node.DriftPpm / 1'000'000);
}

Duration FakeFleet::delay(unsigned maxMilliseconds) {
  return std::chrono::microseconds(100 +
                                   pick(std::uint64_t{1000} * maxMilliseconds));
}

void FakeFleet::fail(std::string what) {
  if (Violation.empty())
    Violation = fmt::format("{:.3f} s: {}",
                            std::chrono::duration<double>(now()).count(), what);
}

// Processes -----------------------------------------------------------------

void FakeFleet::start(const std::string &name) {
  FakeNode &it = node(name);
  it.Id = {Random() | 1U};
  it.IsRunning = true;
  it.PausedUntil = Duration::zero();
  it.ReadPosition = 0;
  it.HeldGrant.reset();
  it.Admitted.clear();
  ownership::InstanceInfo info;
  info.Id = it.Id;
  info.Name = name;
  info.DataCentre = it.DataCentre;
  info.Service = Service;
  info.ChecksGrants = true;
  ownership::AgentHooks hooks;
  hooks.Send = [this, &it](core::InstanceId to,
                           const ownership::ControlMessage &message) {
    sendMessage(it, to, message);
  };
  hooks.Append = [this, &it](const OwnershipRecord &record) {
    appendFrom(it, record);
  };
  hooks.Changed = [] {};
  it.Agent =
      ownership::OwnershipAgent::create(Options.Agent, info, hooks).value();
  poll(it, it.Id);
}

void FakeFleet::kill(const std::string &name) {
  FakeNode &it = node(name);
  it.IsRunning = false;
  it.KilledAt = now();
}

void FakeFleet::pause(const std::string &name, Duration length) {
  FakeNode &it = node(name);
  it.PausedUntil = std::max(it.PausedUntil, now() + length);
}

void FakeFleet::leave(const std::string &name) {
  FakeNode &it = node(name);
  deliver(it, it.Id, Duration::zero(),
          [&it](core::TimePoint time) { it.Agent->beginLeave(time); });
}

void FakeFleet::deliver(FakeNode &node, core::InstanceId incarnation,
                        Duration delay,
                        std::function<void(core::TimePoint)> input) {
  Clock.after(delay, [this, &node, incarnation, input = std::move(input)] {
    run(node, incarnation, input);
  });
}

void FakeFleet::run(FakeNode &node, core::InstanceId incarnation,
                    const std::function<void(core::TimePoint)> &input) {
  if (!node.IsRunning || node.Id != incarnation)
    return;
  if (node.PausedUntil > now()) {
    deliver(node, incarnation, node.PausedUntil - now(), input);
    return;
  }
  const core::TimePoint time = timeOf(node);
  input(time);
  reportIdle(node, time);
  scheduleTick(node);
}

void FakeFleet::scheduleTick(FakeNode &node) {
  const core::TimePoint due = node.Agent->nextDeadline(timeOf(node));
  const Duration wait = std::max<Duration>(trueTimeOf(node, due) - now(), 1us);
  const std::uint64_t token = ++node.TickToken;
  Clock.after(wait, [this, &node, id = node.Id, token] {
    // Superseded: a later input has scheduled a tick of its own.
    if (token != node.TickToken)
      return;
    run(node, id,
        [&node](core::TimePoint time) { (void)node.Agent->onTick(time); });
  });
}

void FakeFleet::reportIdle(FakeNode &node, core::TimePoint time) {
  std::vector<core::SliceId> idle;
  for (const core::SliceId &slice : node.Agent->drainingSlices()) {
    const auto holds = [&](std::uint64_t key) {
      const auto owner = node.Agent->map().ownerOf(slice.Service, key);
      return owner && owner->Slice == slice &&
             (node.Admitted[key] > 0 ||
              Upstreams.isRunning(node.Id, key, now()));
    };
    if (std::none_of(Keys.begin(), Keys.end(), holds))
      idle.push_back(slice);
  }
  if (!idle.empty())
    node.Agent->onSlicesIdle(idle, time);
}

// Links ---------------------------------------------------------------------

void FakeFleet::cut(const std::string &from, const std::string &to) {
  Cuts.insert({from, to});
}

void FakeFleet::heal(const std::string &from, const std::string &to) {
  Cuts.erase({from, to});
}

void FakeFleet::sendMessage(FakeNode &from, core::InstanceId to,
                            const ownership::ControlMessage &message) {
  for (FakeNode &it : Nodes) {
    if (it.Id != to || isCut(from.Name, it.Name))
      continue;
    // Some messages get an extra delay and may be overtaken by later ones.
    const Duration extra = pick(20) == 0 ? delay(150) : Duration::zero();
    const core::InstanceId sender = from.Id;
    deliver(it, to, delay(MaxLinkDelayMs) + extra,
            [&it, sender, message](core::TimePoint time) {
              it.Agent->onMessage(sender, message, time);
            });
  }
}

// Log -----------------------------------------------------------------------

void FakeFleet::setLog(bool isUp, Duration delay) {
  IsLogUp = isUp;
  LogDelay = delay;
}

void FakeFleet::append(const OwnershipRecord &record) {
  Clock.after(delay(10) + LogDelay, [this, record] { commitRecord(record); });
}

void FakeFleet::appendFrom(FakeNode &from, const OwnershipRecord &record) {
  if (!IsLogUp || isCut(from.Name, LogName))
    return;
  append(record);
}

void FakeFleet::commitRecord(const OwnershipRecord &record) {
  Log.push_back(record);
  (void)CommittedMap.apply(record, Log.size());
  for (FakeNode &it : Nodes) {
    if (!it.IsRunning)
      continue;
    deliver(it, it.Id, delay(20) + LogDelay,
            [this, &it](core::TimePoint time) { readLog(it, time); });
  }
}

void FakeFleet::readLog(FakeNode &node, core::TimePoint time) {
  const bool isReachable = IsLogUp && !isCut(LogName, node.Name);
  while (isReachable && node.ReadPosition < Log.size()) {
    const core::Offset offset = ++node.ReadPosition;
    node.Agent->onRecord(Log[offset - 1], offset, time);
  }
  node.Agent->onLogReachable(isReachable, time);
  if (isReachable)
    node.Agent->join(time);
}

void FakeFleet::poll(FakeNode &node, core::InstanceId incarnation) {
  if (!node.IsRunning || node.Id != incarnation)
    return;
  run(node, incarnation,
      [this, &node](core::TimePoint time) { readLog(node, time); });
  Clock.after(PollInterval,
              [this, &node, incarnation] { poll(node, incarnation); });
}

// Traffic -------------------------------------------------------------------

core::Result<ownership::Grant> FakeFleet::mayServe(const std::string &name,
                                                   std::uint64_t key) {
  FakeNode &it = node(name);
  if (!it.IsRunning)
    return core::fail(core::ErrorKind::PeerUnreachable);
  return it.Agent->view()->mayServe(Service, key, timeOf(it));
}

std::vector<std::string> FakeFleet::servers(std::uint64_t key) {
  std::vector<std::string> out;
  for (FakeNode &it : Nodes)
    if (it.IsRunning && it.Agent->view()->mayServe(Service, key, timeOf(it)))
      out.push_back(it.Name);
  return out;
}

bool FakeFleet::send(const std::string &name, std::uint64_t key,
                     const ownership::Grant &grant, Duration length) {
  const FakeNode &it = node(name);
  const Duration deadline = trueTimeOf(it, grant.Expiry);
  if (it.HonoursDeadlines && deadline <= now())
    return false;
  const Duration end =
      it.HonoursDeadlines ? std::min(now() + length, deadline) : now() + length;
  if (!Upstreams.start({it.Id, key, now(), end}))
    fail(fmt::format(
        "upstream requests of two owners overlap on key {}, the second from {}",
        key, name));
  return true;
}

void FakeFleet::generateRequest() {
  const std::uint64_t key = Keys[pick(Keys.size())];
  const auto eligible = servers(key);
  if (eligible.size() > 1)
    fail(fmt::format("key {} may be served by two nodes, {} and {}", key,
                     eligible[0], eligible[1]));
  for (const std::string &name : eligible) {
    FakeNode &it = node(name);
    const bool isPaused = it.PausedUntil > now();
    if (isPaused)
      continue;
    checkIsolation(it);
    const ownership::Grant grant = *mayServe(name, key);
    const Duration length = delay(MaxUpstreamRequestMs);
    ++Served;
    if (Options.PauseBeforeSendOneIn == 0 ||
        pick(Options.PauseBeforeSendOneIn) != 0) {
      (void)send(name, key, grant, length);
      continue;
    }
    ++it.Admitted[key];
    deliver(it, it.Id, delay(1500),
            [this, &it, key, grant, length](core::TimePoint) {
              --it.Admitted[key];
              (void)send(it.Name, key, grant, length);
            });
  }
  Clock.after(Options.RequestInterval, [this] { generateRequest(); });
}

void FakeFleet::checkIsolation(const FakeNode &node) {
  const core::TimePoint time = timeOf(node);
  if (!node.Agent->isIsolated(time))
    return;
  fail(fmt::format("node {} serves requests while isolated", node.Name));
}

} // namespace acaciaroad::scenarios
