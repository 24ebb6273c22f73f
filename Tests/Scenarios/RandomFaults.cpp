#include "Scenarios/RandomFaults.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "Scenarios/FakeFleet.h"

namespace acaciaroad::scenarios {

using namespace std::chrono_literals;

namespace {

constexpr std::array<const char *, 6> Names = {"a", "b", "c", "d", "e", "f"};
constexpr std::array<const char *, 3> DataCentres = {"east", "west", "north"};
constexpr Duration FaultPhaseEnd = 12s;
constexpr Duration ScheduleEnd = 20s;
constexpr std::uint64_t MaxFaultGapMs = 350;

class Schedule {
public:
  Schedule(std::uint64_t seed, ownership::ProtocolFaults breaks)
      : Fleet(optionsFor(seed, breaks)) {}

  RandomOutcome run();

private:
  static FleetOptions optionsFor(std::uint64_t seed,
                                 ownership::ProtocolFaults breaks);
  const char *randomNodeName() { return Names[Fleet.pick(Names.size())]; }
  Duration milliseconds(std::uint64_t bound) {
    return std::chrono::milliseconds(Fleet.pick(bound));
  }
  void injectFault();
  void changeProcess();
  void changeLinks();
  void isolateFromSome(const std::string &name);
  void changeLog();
  void changePlacement();
  void changeShare();
  void healAll();
  std::size_t countStopped(std::span<const core::InstanceId> witnesses);
  bool mayNeedOperator(const ownership::SliceState &state);
  std::string findUnservedKey();

  FakeFleet Fleet;
};

FleetOptions Schedule::optionsFor(std::uint64_t seed,
                                  ownership::ProtocolFaults breaks) {
  FleetOptions out;
  out.Seed = seed;
  out.PauseBeforeSendOneIn = 10;
  out.Agent.InjectedFaults = breaks;
  // Short limits make the witness sets change often, which exercises the joint
  // rule.
  out.Agent.WitnessSilenceLimit = 500ms;
  out.Agent.WitnessSearchInterval = 300ms;
  return out;
}

RandomOutcome Schedule::run() {
  for (std::size_t n = 0; n < Names.size(); ++n) {
    Fleet.addNode(Names[n], DataCentres[n % DataCentres.size()]);
    Fleet.start(Names[n]);
    Fleet.runUntil(Fleet.now() + 100ms);
  }
  Fleet.runUntil(2s);
  while (Fleet.now() < FaultPhaseEnd && Fleet.violation().empty()) {
    injectFault();
    Fleet.runUntil(Fleet.now() + milliseconds(MaxFaultGapMs));
  }
  healAll();
  Fleet.runUntil(ScheduleEnd);
  return {Fleet.violation(), findUnservedKey(), Fleet.servedCount(),
          Fleet.committedMap().snapshot().Retired.size()};
}

void Schedule::injectFault() {
  switch (Fleet.pick(8)) {
  case 0:
  case 1:
    changeProcess();
    break;
  case 2:
  case 3:
    changeLinks();
    break;
  case 4:
    changeLog();
    break;
  case 5:
  case 6:
    changePlacement();
    break;
  default:
    changeShare();
  }
}

void Schedule::changeProcess() {
  FakeNode &node = Fleet.node(randomNodeName());
  const auto what = Fleet.pick(8);
  if (!node.IsRunning)
    Fleet.start(node.Name);
  else if (what == 0)
    Fleet.kill(node.Name);
  else if (what == 1)
    Fleet.leave(node.Name);
  else
    Fleet.pause(node.Name, milliseconds(2000));
}

void Schedule::changeLinks() {
  const auto what = Fleet.pick(4);
  std::string from = randomNodeName();
  std::string to = Fleet.pick(3) == 0 ? LogName : randomNodeName();
  if (Fleet.pick(2) == 0)
    std::swap(from, to);
  if (what == 0) {
    Fleet.heal();
    return;
  }
  if (what == 1)
    isolateFromSome(from);
  Fleet.cut(from, to);
  if (what != 2)
    Fleet.cut(to, from);
}

/// Drops messages in both directions between \p name and a random subset of the
/// nodes.
void Schedule::isolateFromSome(const std::string &name) {
  for (const char *it : Names) {
    if (Fleet.pick(3) == 0)
      continue;
    Fleet.cut(name, it);
    Fleet.cut(it, name);
  }
}

void Schedule::changeLog() {
  const auto what = Fleet.pick(4);
  if (what == 0)
    Fleet.setLog(false, Duration::zero());
  else
    Fleet.setLog(true, what == 1 ? milliseconds(1500) : Duration::zero());
}

void Schedule::changePlacement() {
  const std::uint64_t key = keys()[Fleet.pick(keys().size())];
  const auto owner = *Fleet.committedMap().ownerOf(Service, key);
  const FakeNode &to = Fleet.node(randomNodeName());
  const auto what = Fleet.pick(6);
  if (what == 0)
    Fleet.append(ownership::HotKeyAdded{Service, key, owner.Epoch});
  else if (what == 1)
    Fleet.append(ownership::HotKeyRemoved{Service, key, owner.Epoch});
  else
    Fleet.append(ownership::SliceMoved{owner.Slice, owner.Epoch, to.Id});
}

void Schedule::changeShare() {
  const char *name = DataCentres[Fleet.pick(DataCentres.size())];
  const auto now = Fleet.committedMap().dataCentre(name);
  constexpr std::array<std::uint32_t, 3> Shares = {0, 500, 1000};
  Fleet.append(ownership::DataCentreShareSet{
      name, now.Version, Shares[Fleet.pick(Shares.size())]});
}

void Schedule::healAll() {
  Fleet.heal();
  Fleet.setLog(true, Duration::zero());
  for (FakeNode &it : Fleet.nodes())
    if (!it.IsRunning || it.Agent->hasLeft())
      Fleet.start(it.Name);
  for (const char *it : DataCentres)
    Fleet.append(ownership::DataCentreShareSet{
        it, Fleet.committedMap().dataCentre(it).Version, 1000});
  // Restarts retired processes, as a process supervisor would.
  for (int n = 0; n < 4; ++n) {
    Fleet.runUntil(Fleet.now() + 1s);
    for (FakeNode &it : Fleet.nodes())
      if (it.Agent->hasLeft())
        Fleet.start(it.Name);
  }
}

std::size_t
Schedule::countStopped(std::span<const core::InstanceId> witnesses) {
  const auto isStopped = [this](core::InstanceId id) {
    const auto &nodes = Fleet.nodes();
    return std::none_of(nodes.begin(), nodes.end(), [id](const FakeNode &it) {
      return it.Id == id && it.IsRunning;
    });
  };
  return std::count_if(witnesses.begin(), witnesses.end(), isStopped);
}

/// Returns whether the slice may stay unserved until an operator intervenes,
/// because too few witnesses of its owner or of a predecessor are running.
bool Schedule::mayNeedOperator(const ownership::SliceState &state) {
  std::vector<core::InstanceId> ids = {state.Owner};
  for (const ownership::Predecessor &it : state.Predecessors)
    ids.push_back(it.Id);
  return std::any_of(ids.begin(), ids.end(), [this](core::InstanceId id) {
    const auto *instance = Fleet.committedMap().instance(id);
    if (instance == nullptr)
      return true;
    const auto &list = instance->Witnesses;
    return list.empty() ||
           countStopped(list) >
               list.size() - ownership::blockingCount(list.size());
  });
}

std::string Schedule::findUnservedKey() {
  for (const std::uint64_t key : keys()) {
    if (!Fleet.servers(key).empty())
      continue;
    const auto owner = *Fleet.committedMap().ownerOf(Service, key);
    const auto ref = *Fleet.committedMap().refOf(owner.Slice);
    if (!mayNeedOperator(*Fleet.committedMap().slice(ref)))
      return fmt::format("key {} is not served after all faults were removed",
                         key);
  }
  return {};
}

} // namespace

RandomOutcome runRandomFaults(std::uint64_t seed,
                              ownership::ProtocolFaults breaks) {
  return Schedule(seed, breaks).run();
}

} // namespace acaciaroad::scenarios
