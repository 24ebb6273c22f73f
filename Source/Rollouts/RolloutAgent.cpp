#include "Rollouts/RolloutAgent.h"

#include <algorithm>
#include <utility>

#include "Core/Identifiers.h"

namespace acaciaroad::rollouts {

using std::chrono::seconds;

namespace {

/// Nodes that send requests to a version before it is taken. Each reports its
/// counts, so this bounds the datagrams that a receiver gets.
constexpr std::size_t MaxReporters = 200;

/// Nodes that get the counts. The second one rolls back if the first one fails.
constexpr std::size_t ReceiverCount = 2;

/// Time for which a set of instances serves the share.
constexpr core::Duration TurnLength = seconds(3);

bool contains(std::span<const std::string> list, std::string_view name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

RolloutAgent::RolloutAgent(std::string node, Bounds bounds)
    : Node(std::move(node)), Limits(bounds) {}

const ServiceFacts &RolloutAgent::factsOf(std::string_view service) const {
  static const ServiceFacts none;
  const auto it = Facts.find(service);
  return it == Facts.end() ? none : it->second;
}

void RolloutAgent::orderRead(const Order &order, core::TimePoint now) {
  ServiceState &state = Services[order.Service];
  updateRankings();
  const bool isKnown = state.Ordered && state.Ordered->Request == order &&
                       !state.Ordered->IsWithdrawn;
  if (isKnown)
    return;
  state.Ordered = OrderState{order, false, now};
  if (state.Record && state.Record->Request == order)
    state.Ordered->Since = now - state.Record->PhaseBegan;
}

void RolloutAgent::orderWithdrawn(std::string_view service) {
  const auto it = Services.find(service);
  if (it != Services.end() && it->second.Ordered)
    it->second.Ordered->IsWithdrawn = true;
}

std::vector<std::string> RolloutAgent::orderedServices() const {
  std::vector<std::string> out;
  for (const auto &[service, it] : Services)
    if (it.Ordered && !it.Ordered->IsWithdrawn)
      out.push_back(service);
  return out;
}

bool RolloutAgent::isBusy() const {
  return std::any_of(Services.begin(), Services.end(), [](const auto &it) {
    const ServiceState &state = it.second;
    if (state.IsLost)
      return true;
    return isCurrent(state) ? !isFinal(state.Record->Current)
                            : state.Ordered && !state.Ordered->IsWithdrawn;
  });
}

void RolloutAgent::recordRead(const Rollout &record, core::TimePoint now) {
  ServiceState &state = Services[record.Request.Service];
  updateRankings();
  const bool isSameOrder =
      state.Record && state.Record->Request == record.Request;
  if (isSameOrder && record.Current < state.Record->Current) {
    state.IsLost = true;
    state.Told.reset();
    return;
  }
  state.IsLost = false;
  if (isSameOrder && state.Record->Current == record.Current)
    return;
  if (!isSameOrder)
    state.Counts = CountLedger();
  state.Counts.beginPhase();
  state.Worse.reset();
  state.Record = record;
  // The order is at least as old as its decision.
  if (state.Ordered && state.Ordered->Request == record.Request)
    state.Ordered->Since =
        std::min(state.Ordered->Since, now - record.PhaseBegan);
}

void RolloutAgent::keepRecords(
    const std::set<std::string, std::less<>> &services) {
  for (auto &[service, state] : Services)
    if (state.Record && !services.contains(service)) {
      state.IsLost = true;
      state.Told.reset();
    }
}

void RolloutAgent::ordersConfirmed(core::TimePoint requested) {
  OrdersAt = std::max(OrdersAt, requested);
}

void RolloutAgent::recordsConfirmed(core::TimePoint requested) {
  RecordsAt = std::max(RecordsAt, requested);
}

void RolloutAgent::setFleet(std::vector<Instance> instances,
                            std::vector<std::string> nodes,
                            core::TimePoint now) {
  Instances = std::move(instances);
  if (nodes != Nodes) {
    Nodes = std::move(nodes);
    Rankings.clear();
    updateRankings();
  }
  std::map<std::string, Sighting, std::less<>> sightings;
  std::map<std::pair<std::string, std::string>, core::TimePoint> versions;
  for (const Instance &it : Instances) {
    const auto known = Sightings.find(it.Node);
    const bool isSame =
        known != Sightings.end() && known->second.Process == it.Process;
    sightings[it.Node] = isSame ? known->second : Sighting{it.Process, now};
    const std::pair version(it.Service, it.Version);
    const auto seen = Versions.find(version);
    const auto since = HasFleet ? now : core::TimePoint::min();
    versions.emplace(version, seen == Versions.end() ? since : seen->second);
  }
  Sightings = std::move(sightings);
  Versions = std::move(versions);
  HasFleet = true;
}

bool RolloutAgent::awaitsOrders() const {
  return std::any_of(Versions.begin(), Versions.end(),
                     [this](const auto &it) { return OrdersAt < it.second; });
}

void RolloutAgent::receive(const CountReport &report, core::TimePoint now) {
  const auto it = Services.find(report.Service);
  if (it == Services.end() || !isCurrent(it->second) ||
      it->second.Record->Request.Version != report.Version)
    return;
  ServiceState &state = it->second;
  state.Counts.receive(report);
  // A node that has started since the order knows only a part of its age.
  state.Ordered->Since = std::min(state.Ordered->Since, now - report.Age);
}

void RolloutAgent::advance(core::TimePoint now) {
  for (auto &[service, state] : Services) {
    if (!isCurrent(state) || !isReversible(state.Record->Current) ||
        rankOf(service) == Rank::Other)
      continue;
    state.Worse = state.Counts.findDefect();
    state.Counts.advance(now);
  }
}

bool RolloutAgent::isCurrent(const ServiceState &state) {
  return state.Record && state.Ordered &&
         state.Record->Request == state.Ordered->Request;
}

core::Duration RolloutAgent::age(const ServiceState &state,
                                 core::TimePoint now) {
  return now - state.Ordered->Since;
}

void RolloutAgent::updateRankings() {
  for (const auto &[service, state] : Services) {
    if (Rankings.contains(service))
      continue;
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(Nodes.size());
    const std::uint64_t seed = core::hashOf(service);
    for (const std::string &it : Nodes)
      ranked.emplace_back(core::hashOf(it, seed), it);
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> &out = Rankings[service];
    out.reserve(ranked.size());
    for (auto &[hash, name] : ranked)
      out.push_back(std::move(name));
  }
}

std::span<const std::string>
RolloutAgent::ranking(std::string_view service) const {
  const auto it = Rankings.find(service);
  return it == Rankings.end() ? std::span<const std::string>() : it->second;
}

RolloutAgent::Rank RolloutAgent::rankOf(std::string_view service) const {
  const auto nodes = ranking(service);
  if (!nodes.empty() && nodes[0] == Node)
    return Rank::First;
  return nodes.size() > 1 && nodes[1] == Node ? Rank::Second : Rank::Other;
}

bool RolloutAgent::isReporter(std::string_view service) const {
  if (Nodes.size() <= MaxReporters)
    return true;
  return contains(ranking(service).first(MaxReporters), Node);
}

std::vector<std::string>
RolloutAgent::receivers(std::string_view service) const {
  const auto it = Services.find(service);
  if (it == Services.end() || !isCurrent(it->second) ||
      !isReversible(it->second.Record->Current))
    return {};
  const auto nodes = ranking(service);
  const auto first = nodes.first(std::min(nodes.size(), ReceiverCount));
  return {first.begin(), first.end()};
}

bool RolloutAgent::isWarm(const Instance &instance, core::TimePoint now) const {
  const auto it = Sightings.find(instance.Node);
  return it != Sightings.end() && now - it->second.Since >= WarmUp;
}

std::vector<std::string> RolloutAgent::nodesOf(std::string_view service,
                                               std::string_view version,
                                               bool needsWarm,
                                               core::TimePoint now) const {
  std::vector<std::string> out;
  for (const Instance &it : Instances)
    if (it.Service == service && it.Version == version && it.IsOpen &&
        (!needsWarm || isWarm(it, now)))
      out.push_back(it.Node);
  std::sort(out.begin(), out.end());
  return out;
}

Rollout RolloutAgent::begin(const ServiceState &state,
                            core::TimePoint now) const {
  const Order &order = state.Ordered->Request;
  std::set<std::string> rejected;
  if (state.Record) {
    const Rollout &before = *state.Record;
    rejected.insert(before.RejectedVersions.begin(),
                    before.RejectedVersions.end());
    if (before.Current == Phase::Complete)
      rejected.insert(before.FormerVersions.begin(),
                      before.FormerVersions.end());
    else
      rejected.insert(before.Request.Version);
  }
  rejected.erase(order.Version);
  std::set<std::string> former;
  for (const Instance &it : Instances)
    if (it.Service == order.Service && it.Version != order.Version &&
        !rejected.contains(it.Version))
      former.insert(it.Version);
  return {order,
          Phase::Warming,
          {former.begin(), former.end()},
          {rejected.begin(), rejected.end()},
          age(state, now),
          "order read"};
}

Situation RolloutAgent::situationOf(std::string_view service,
                                    const ServiceState &state,
                                    core::TimePoint now) const {
  Situation out;
  out.Age = age(state, now);
  out.LongestRequest = factsOf(service).LongestRequest;
  out.Instances =
      nodesOf(service, state.Ordered->Request.Version, true, now).size();
  out.IsWithdrawn = state.Ordered->IsWithdrawn;
  out.Worse = state.Worse;
  for (const RouteCounts &it : state.Counts.phaseCounts())
    out.Answers += it.Next.answers();
  return out;
}

std::optional<Proposal> RolloutAgent::proposal(core::TimePoint now) const {
  for (const auto &[service, state] : Services) {
    if (state.IsLost && rankOf(service) == Rank::First)
      return Proposal{*state.Record, state.Record->Current};
    if (!state.Ordered || factsOf(service).IsKeyed ||
        (isCurrent(state) && isFinal(state.Record->Current)))
      continue;
    const Rank rank = rankOf(service);
    if (rank == Rank::Other)
      continue;
    if (!isCurrent(state)) {
      if (rank == Rank::First && !state.Ordered->IsWithdrawn)
        return Proposal{begin(state, now), std::nullopt};
      continue;
    }
    const auto step = nextStep(*state.Record, situationOf(service, state, now));
    if (!step || (rank != Rank::First && step->To != Phase::RolledBack))
      continue;
    Proposal out{*state.Record, state.Record->Current};
    out.Record.Current = step->To;
    out.Record.PhaseBegan = age(state, now);
    out.Record.Cause = step->Cause;
    return out;
  }
  return std::nullopt;
}

std::vector<Rollout> RolloutAgent::untoldDecisions() const {
  std::vector<Rollout> out;
  for (const auto &[service, state] : Services) {
    if (!state.Record || state.Record == state.Told)
      continue;
    // The second node may have rolled back for a first one that has failed.
    const Rank rank = rankOf(service);
    const bool isRolledBack = state.Record->Current == Phase::RolledBack;
    if (rank == Rank::First || (rank == Rank::Second && isRolledBack))
      out.push_back(*state.Record);
  }
  return out;
}

void RolloutAgent::told(const Rollout &record) {
  Services[record.Request.Service].Told = record;
}

core::Duration RolloutAgent::orderAge(std::string_view service,
                                      core::TimePoint now) const {
  const auto it = Services.find(service);
  return it == Services.end() || !it->second.Ordered ? core::Duration{}
                                                     : age(it->second, now);
}

std::optional<VersionShare> RolloutAgent::share(std::string_view service,
                                                core::TimePoint now) const {
  const auto it = Services.find(service);
  if (it == Services.end() || !it->second.Ordered || factsOf(service).IsKeyed)
    return std::nullopt;
  const ServiceState &state = it->second;
  VersionShare out;
  out.Version = state.Ordered->Request.Version;
  if (!isCurrent(state)) {
    // The order is known, but no decision about it yet.
    if (state.Ordered->IsWithdrawn)
      return std::nullopt;
    return out;
  }
  const Rollout &record = *state.Record;
  if (isFinal(record.Current))
    return std::nullopt;
  if (state.Ordered->IsWithdrawn && isReversible(record.Current))
    return out;
  out.IsTaken = record.Current == Phase::Settling;
  const bool needsWarm = record.Current == Phase::Comparing;
  out.Nodes = nodesOf(service, out.Version, needsWarm, now);
  out.Share =
      shareIn(record.Current, age(state, now) - record.PhaseBegan, Limits);
  out.Until =
      out.IsTaken ? core::TimePoint::max() : RecordsAt + Limits.RollBack / 2;
  if (out.IsTaken || out.Nodes.empty())
    return out;
  if (!isReporter(service)) {
    out.Share = 0;
    return out;
  }
  const std::size_t count = instancesFor(Limits.Share, out.Nodes.size());
  const auto turn = static_cast<std::size_t>(age(state, now) / TurnLength);
  const std::size_t first = turn * count % out.Nodes.size();
  std::rotate(out.Nodes.begin(),
              out.Nodes.begin() + static_cast<std::ptrdiff_t>(first),
              out.Nodes.end());
  out.Nodes.resize(count);
  std::sort(out.Nodes.begin(), out.Nodes.end());
  return out;
}

std::map<std::string, VersionShare, std::less<>>
RolloutAgent::shares(core::TimePoint now) const {
  std::map<std::string, VersionShare, std::less<>> out;
  for (const auto &[service, state] : Services)
    if (auto it = share(service, now))
      out.emplace(service, std::move(*it));
  return out;
}

bool RolloutAgent::isUsable(const Instance &instance) const {
  if (factsOf(instance.Service).IsKeyed)
    return true;
  const auto seen = Versions.find({instance.Service, instance.Version});
  if (seen == Versions.end() || OrdersAt < seen->second)
    return false;
  const auto service = Services.find(instance.Service);
  const Rollout *record = find(instance.Service);
  if (record == nullptr)
    return true;
  const auto &ordered = service->second.Ordered;
  // A version whose order was replaced is not taken any more.
  if (ordered && !ordered->IsWithdrawn && !isCurrent(service->second) &&
      record->Current != Phase::Complete &&
      instance.Version == record->Request.Version)
    return instance.Version == ordered->Request.Version;
  if (contains(record->RejectedVersions, instance.Version))
    return false;
  if (record->Current == Phase::RolledBack)
    return instance.Version != record->Request.Version;
  return record->Current != Phase::Complete ||
         !contains(record->FormerVersions, instance.Version);
}

const Rollout *RolloutAgent::find(std::string_view service) const {
  const auto it = Services.find(service);
  return it == Services.end() || !it->second.Record ? nullptr
                                                    : &*it->second.Record;
}

std::vector<RouteCounts> RolloutAgent::counts(std::string_view service) const {
  const auto it = Services.find(service);
  return it == Services.end() ? std::vector<RouteCounts>()
                              : it->second.Counts.phaseCounts();
}

} // namespace acaciaroad::rollouts
