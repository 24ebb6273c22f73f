#include "Requests/LoadBalancer.h"

#include <algorithm>

namespace acaciaroad::requests {

namespace {

/// Random draws before the group is searched linearly.
constexpr int MaxRandomDraws = 4;
/// Ratio of latencies above which a remote instance is preferred to a local
/// one. So slow an instance lacks something that its reported load doesn't
/// show, such as network bandwidth.
constexpr double MaxLocalSlowdown = 3;
/// Cost of a remote instance, relative to a saturated local one, below which it
/// is preferred. A small difference is not worth the bytes between data
/// centres, and often only the age of the reports.
constexpr double MaxRemoteCost = 0.75;
/// At most one in this many instances of a service is ejected at a time.
constexpr std::size_t InstancesPerEjection = 3;

} // namespace

core::Result<LoadBalancer> LoadBalancer::create(std::string_view dataCentre,
                                                RandomFunction random) {
  if (!random)
    return core::fail(core::ErrorKind::InvalidArgument,
                      "a load balancer needs a random number generator");
  return LoadBalancer(dataCentre, std::move(random));
}

LoadBalancer::LoadBalancer(std::string_view dataCentre, RandomFunction random)
    : DataCentre(dataCentre), Random(std::move(random)) {}

void LoadBalancer::setCandidates(std::span<const Candidate> candidates) {
  std::vector<Peer> peers;
  std::unordered_map<core::InstanceId, std::size_t> byId;
  Local.clear();
  Remote.clear();
  for (const Candidate &it : candidates) {
    if (!byId.emplace(it.Id, peers.size()).second)
      continue;
    const Peer *known = find(it.Id);
    const bool isLocal = it.DataCentre == DataCentre;
    (isLocal ? Local : Remote).push_back(peers.size());
    peers.push_back({it.Id, isLocal, known ? known->Load : PeerLoad()});
  }
  Peers = std::move(peers);
  ById = std::move(byId);
}

LoadBalancer::Peer *LoadBalancer::find(core::InstanceId id) {
  const auto it = ById.find(id);
  return it == ById.end() ? nullptr : &Peers[it->second];
}

void LoadBalancer::reported(core::InstanceId id, const ReportedLoad &load,
                            core::TimePoint now) {
  if (Peer *peer = find(id))
    peer->Load.reported(load, now);
}

std::optional<core::InstanceId>
LoadBalancer::choose(std::span<const core::InstanceId> tried,
                     core::TimePoint now) {
  Peer *local = bestOfTwo(Local, tried, now);
  Peer *remote = bestOfTwo(Remote, tried, now);
  Peer *chosen = local && !prefersRemote(*local, remote, now) ? local : remote;
  if (!chosen)
    return std::nullopt;
  return chosen->Id;
}

bool LoadBalancer::prefersRemote(const Peer &local, const Peer *remote,
                                 core::TimePoint now) {
  if (remote == nullptr)
    return false;
  if (local.Load.isSaturated(now))
    return remote->Load.cost(now) < local.Load.cost(now) * MaxRemoteCost;
  return isMuchSlower(local, *remote);
}

bool LoadBalancer::isMuchSlower(const Peer &local, const Peer &remote) {
  const double other = remote.Load.observedLatency();
  return other > 0 && local.Load.observedLatency() > other * MaxLocalSlowdown;
}

LoadBalancer::Peer *
LoadBalancer::bestOfTwo(const Group &group,
                        std::span<const core::InstanceId> tried,
                        core::TimePoint now) {
  Peer *first = drawEligible(group, nullptr, tried, now);
  if (!first)
    return nullptr;
  return lowerCost(first, drawEligible(group, first, tried, now), now);
}

LoadBalancer::Peer *
LoadBalancer::drawEligible(const Group &group, const Peer *other,
                           std::span<const core::InstanceId> tried,
                           core::TimePoint now) {
  if (group.empty())
    return nullptr;
  std::size_t start = 0;
  for (int n = 0; n < MaxRandomDraws; ++n) {
    start = Random() % group.size();
    Peer &peer = Peers[group[start]];
    if (&peer != other && isEligible(peer, tried, now))
      return &peer;
  }
  for (std::size_t n = 0; n < group.size(); ++n) {
    Peer &peer = Peers[group[(start + n) % group.size()]];
    if (&peer != other && isEligible(peer, tried, now))
      return &peer;
  }
  return nullptr;
}

bool LoadBalancer::isEligible(const Peer &peer,
                              std::span<const core::InstanceId> tried,
                              core::TimePoint now) const {
  if (peer.Load.refusesWork(now) || peer.Load.isUnavailable(now))
    return false;
  return std::find(tried.begin(), tried.end(), peer.Id) == tried.end();
}

LoadBalancer::Peer *LoadBalancer::lowerCost(Peer *a, Peer *b,
                                            core::TimePoint now) const {
  if (!a || !b)
    return a ? a : b;
  return b->Load.cost(now) < a->Load.cost(now) ? b : a;
}

void LoadBalancer::sent(core::InstanceId id) {
  if (Peer *peer = find(id))
    peer->Load.sent();
}

void LoadBalancer::ended(core::InstanceId id, AttemptOutcome outcome,
                         core::Duration latency, core::TimePoint now) {
  Peer *peer = find(id);
  if (!peer)
    return;
  switch (outcome) {
  case AttemptOutcome::Answered:
    peer->Load.served(latency, now);
    return;
  case AttemptOutcome::RefusedNotRun:
    peer->Load.abandoned();
    return;
  case AttemptOutcome::NotSent:
  case AttemptOutcome::SentNoAnswer:
    if (peer->Load.failed(latency, now) &&
        (peer->Load.isEjected() || ejectedCount() < maxEjected()))
      peer->Load.eject(now);
    return;
  }
}

void LoadBalancer::abandoned(core::InstanceId id) {
  if (Peer *peer = find(id))
    peer->Load.abandoned();
}

std::size_t LoadBalancer::ejectedCount() const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(),
                    [](const Peer &it) { return it.Load.isEjected(); }));
}

std::size_t LoadBalancer::maxEjected() const {
  if (Peers.size() < 2)
    return 0;
  return std::max<std::size_t>(1, Peers.size() / InstancesPerEjection);
}

} // namespace acaciaroad::requests
