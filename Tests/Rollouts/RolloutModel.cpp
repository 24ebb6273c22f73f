#include "Rollouts/RolloutModel.h"

#include <algorithm>

namespace acaciaroad::tests {

using namespace rollouts;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::Duration StepLength = milliseconds(100);
constexpr int StepsOfReport = 5;
/// A node reads the logs every so many steps, at its own time.
constexpr std::size_t StepsOfRead = 8;
constexpr int RequestsOfStep = 5;
constexpr std::size_t RouteCount = 3;
constexpr core::Duration NodeLapse = seconds(7);
constexpr Bounds Limits{0.1, 50, seconds(5)};
constexpr char Service[] = "s";

} // namespace

RolloutModel::RolloutModel(AnswerFunction answer, std::uint64_t seed)
    : Answer(std::move(answer)), Generator(seed),
      OrderedAt(Now), Order{Service, "v2", seconds(40)}, Hosts(NodeCount) {
  for (std::size_t n = 0; n < NodeCount; ++n)
    start(n);
}

std::string RolloutModel::nameOf(std::size_t node) {
  return std::string(1, static_cast<char>('a' + node));
}

void RolloutModel::kill(std::size_t node) {
  Hosts[node].Agent.reset();
  Hosts[node].LapsedFrom = Now + NodeLapse;
}

void RolloutModel::start(std::size_t node) {
  Host &host = Hosts[node];
  host.Agent.emplace(nameOf(node), Limits);
  host.Agent->setFacts({{Service, {false, seconds(2)}}});
  host.Choice = VersionChoice(Generator.unit());
  ++host.Incarnation;
  host.Counts.clear();
  host.Read = 0;
  host.IsOrderRead = false;
  host.LapsedFrom = core::TimePoint::max();
}

void RolloutModel::withdraw() {
  IsWithdrawn = true;
  for (Host &it : Hosts)
    it.IsOrderRead = false;
}

void RolloutModel::replace(const rollouts::Order &order) {
  Order = order;
  OrderedAt = Now;
  for (Host &it : Hosts)
    it.IsOrderRead = false;
}

std::size_t RolloutModel::decider() const {
  for (const Host &it : Hosts)
    if (it.Agent && !it.IsCut && !it.IsFrozen)
      if (const auto to = it.Agent->receivers(Service); !to.empty())
        return static_cast<std::size_t>(to[0][0] - 'a');
  return 0;
}

std::optional<Phase> RolloutModel::phase() const {
  if (Log.empty())
    return std::nullopt;
  return Log.back().Current;
}

void RolloutModel::play(core::Duration time,
                        const std::function<void(RolloutModel &)> &eachStep) {
  for (const auto end = Now + time; Now < end;) {
    if (eachStep)
      eachStep(*this);
    step();
  }
}

void RolloutModel::step() {
  Now += StepLength;
  ++Steps;
  for (std::size_t n = 0; n < Hosts.size(); ++n) {
    Host &host = Hosts[n];
    if (!host.Agent || host.IsFrozen)
      continue;
    const bool isRead =
        (static_cast<std::size_t>(Steps) + n) % StepsOfRead == 0;
    if (isRead && !host.IsCut && !IsStoreDown)
      read(n);
    serve(n);
    if (Steps % StepsOfReport == 0)
      report(n);
    host.Agent->advance(Now);
    if (!host.IsCut && !IsStoreDown)
      propose(n);
  }
}

void RolloutModel::read(std::size_t node) {
  Host &host = Hosts[node];
  std::vector<Instance> instances;
  for (std::size_t n = 0; n < InstancesOfVersion; ++n)
    for (const char *version : {"v1", "v2"})
      instances.push_back({version + std::to_string(n), Service, version,
                           version + std::to_string(n), true});
  std::vector<std::string> nodes;
  for (std::size_t n = 0; n < Hosts.size(); ++n)
    if (Now < Hosts[n].LapsedFrom)
      nodes.push_back(nameOf(n));
  host.Agent->setFleet(std::move(instances), std::move(nodes), Now);
  host.Agent->ordersConfirmed(Now);
  if (!host.IsOrderRead && IsWithdrawn)
    host.Agent->orderWithdrawn(Service);
  else if (!host.IsOrderRead)
    host.Agent->orderRead(Order, Now);
  host.IsOrderRead = true;
  for (; host.Read < Log.size(); ++host.Read)
    host.Agent->recordRead(Log[host.Read], Now);
  host.Agent->recordsConfirmed(Now);
}

void RolloutModel::serve(std::size_t node) {
  Host &host = Hosts[node];
  const auto share = host.Agent->share(Service, Now);
  for (int n = 0; n < RequestsOfStep; ++n) {
    ModelRequest request;
    request.Route = Generator.below(RouteCount);
    request.Age = age();
    request.Random = Generator.unit();
    request.Load = 1;
    ++Requests;
    if (share)
      request.IsNext =
          !share->Nodes.empty() && host.Choice.takesNext(share->shareAt(Now));
    else
      request.IsNext = host.Agent->isUsable({"", Service, "v2", "", true}) &&
                       (!host.Agent->isUsable({"", Service, "v1", "", true}) ||
                        Generator.unit() < 0.5);
    if (!request.IsNext && phase() == Phase::Complete)
      ++Stranded;
    if (request.IsNext && share)
      request.Load = share->Share * static_cast<double>(InstancesOfVersion) /
                     static_cast<double>(share->Nodes.size());
    const ModelAnswer answer = Answer(request);
    RouteCounts &counts = host.Counts[std::to_string(request.Route)];
    counts.Route = std::to_string(request.Route);
    (request.IsNext ? counts.Next : counts.Former)
        .add(answer.IsFailure, answer.Latency);
    if (!request.IsNext)
      continue;
    if (phase() != Phase::Settling && phase() != Phase::Complete)
      ++Exposed;
    LastExposure = age();
    if (answer.IsFailure || answer.Latency > milliseconds(300))
      if (++BadAnswers == 50)
        FiftiethBad = age();
  }
}

void RolloutModel::report(std::size_t node) {
  Host &host = Hosts[node];
  CountReport report{nameOf(node),
                     host.Incarnation,
                     Service,
                     Order.Version,
                     host.Agent->orderAge(Service, Now),
                     {}};
  for (const auto &[route, it] : host.Counts)
    report.Routes.push_back(it);
  for (const std::string &it : host.Agent->receivers(Service)) {
    Host &to = Hosts[static_cast<std::size_t>(it[0] - 'a')];
    const bool isReached = !host.IsCut && !to.IsCut && !to.IsFrozen;
    if (to.Agent && (isReached || &to == &host))
      to.Agent->receive(report, Now);
  }
}

void RolloutModel::propose(std::size_t node) {
  Host &host = Hosts[node];
  const auto proposal = host.Agent->proposal(Now);
  if (!proposal)
    return;
  if (host.Read != Log.size()) {
    ++Refused;
    read(node);
    return;
  }
  Log.push_back(proposal->Record);
  History.emplace_back(proposal->Record.Current, age());
  read(node);
}

} // namespace acaciaroad::tests
