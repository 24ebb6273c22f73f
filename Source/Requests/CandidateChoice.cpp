#include "Requests/CandidateChoice.h"

#include <algorithm>

namespace acaciaroad::requests {

namespace {

/// Random draws before the group is searched in order.
constexpr int MostDraws = 4;
/// An instance of the own data centre that takes this many times as long as one
/// elsewhere is short of something that its load doesn't tell, as its network.
constexpr double MostSlowdown = 3;
/// One in this many instances of a service may be ejected at once.
constexpr std::size_t EjectedShare = 3;

} // namespace

core::Result<CandidateChoice>
CandidateChoice::create(std::string_view dataCentre, RandomFunction random) {
  if (!random)
    return core::fail(core::ErrorKind::InvalidArgument,
                      "a choice needs random numbers");
  return CandidateChoice(dataCentre, std::move(random));
}

CandidateChoice::CandidateChoice(std::string_view dataCentre,
                                 RandomFunction random)
    : DataCentre(dataCentre), Random(std::move(random)) {}

void CandidateChoice::setCandidates(std::span<const Candidate> candidates) {
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

CandidateChoice::Peer *CandidateChoice::find(core::InstanceId id) {
  const auto it = ById.find(id);
  return it == ById.end() ? nullptr : &Peers[it->second];
}

void CandidateChoice::reported(core::InstanceId id, const ReportedLoad &load,
                               core::TimePoint now) {
  if (Peer *peer = find(id))
    peer->Load.reported(load, now);
}

std::optional<core::InstanceId>
CandidateChoice::choose(std::span<const core::InstanceId> tried,
                        core::TimePoint now) {
  Peer *local = bestOfTwo(Local, tried, now);
  Peer *remote = bestOfTwo(Remote, tried, now);
  Peer *chosen = local;
  if (!local || local->Load.isBusy(now))
    chosen = better(local, remote, now);
  else if (remote && isMuchSlower(*local, *remote))
    chosen = remote;
  if (!chosen)
    return std::nullopt;
  return chosen->Id;
}

bool CandidateChoice::isMuchSlower(const Peer &local, const Peer &remote) {
  const double other = remote.Load.observedLatency();
  return other > 0 && local.Load.observedLatency() > other * MostSlowdown;
}

CandidateChoice::Peer *
CandidateChoice::bestOfTwo(const Group &group,
                           std::span<const core::InstanceId> tried,
                           core::TimePoint now) {
  Peer *first = draw(group, nullptr, tried, now);
  if (!first)
    return nullptr;
  return better(first, draw(group, first, tried, now), now);
}

CandidateChoice::Peer *
CandidateChoice::draw(const Group &group, const Peer *other,
                      std::span<const core::InstanceId> tried,
                      core::TimePoint now) {
  if (group.empty())
    return nullptr;
  std::size_t start = 0;
  for (int n = 0; n < MostDraws; ++n) {
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

bool CandidateChoice::isEligible(const Peer &peer,
                                 std::span<const core::InstanceId> tried,
                                 core::TimePoint now) const {
  if (peer.Load.isClosed(now) || peer.Load.isOut(now))
    return false;
  return std::find(tried.begin(), tried.end(), peer.Id) == tried.end();
}

CandidateChoice::Peer *CandidateChoice::better(Peer *a, Peer *b,
                                               core::TimePoint now) const {
  if (!a || !b)
    return a ? a : b;
  return b->Load.cost(now) < a->Load.cost(now) ? b : a;
}

void CandidateChoice::sent(core::InstanceId id) {
  if (Peer *peer = find(id))
    peer->Load.sent();
}

void CandidateChoice::ended(core::InstanceId id, AttemptOutcome outcome,
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
        (peer->Load.isEjected() || ejected() < mostEjected()))
      peer->Load.eject(now);
    return;
  }
}

void CandidateChoice::abandoned(core::InstanceId id) {
  if (Peer *peer = find(id))
    peer->Load.abandoned();
}

std::size_t CandidateChoice::ejected() const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(),
                    [](const Peer &it) { return it.Load.isEjected(); }));
}

std::size_t CandidateChoice::mostEjected() const {
  if (Peers.size() < 2)
    return 0;
  return std::max<std::size_t>(1, Peers.size() / EjectedShare);
}

} // namespace acaciaroad::requests
