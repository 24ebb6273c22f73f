/// \file
/// Which instance serves a request that is not divided by key.

#ifndef ACACIAROAD_REQUESTS_LOADBALANCER_H
#define ACACIAROAD_REQUESTS_LOADBALANCER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"
#include "Requests/PeerLoad.h"
#include "Requests/RequestPolicy.h"

namespace acaciaroad::requests {

/// An instance that can serve a service.
struct Candidate {
  core::InstanceId Id;
  std::string DataCentre;
};

/// Returns uniformly distributed 64-bit numbers.
using RandomFunction = std::function<std::uint64_t()>;

/// Chooses among the instances of one service: the less loaded of two random
/// ones, of the own data centre unless those are busy or much slower. Keeps
/// what this node observes of each instance.
class LoadBalancer {
public:
  /// Fails with InvalidArgument without a source of random numbers.
  static core::Result<LoadBalancer> create(std::string_view dataCentre,
                                           RandomFunction random);

  /// Sets the instances of the service; what is known of those that stay is
  /// kept.
  void setCandidates(std::span<const Candidate> candidates);

  /// An instance told its load.
  void reported(core::InstanceId id, const ReportedLoad &load,
                core::TimePoint now);

  /// Chooses an instance that is not in \p tried; nothing if there is none.
  std::optional<core::InstanceId>
  choose(std::span<const core::InstanceId> tried, core::TimePoint now);

  /// A request is about to be sent to an instance.
  void sent(core::InstanceId id);

  /// A request to an instance ended. \p latency runs from sending.
  void ended(core::InstanceId id, AttemptOutcome outcome,
             core::Duration latency, core::TimePoint now);

  /// A request to an instance was given up.
  void abandoned(core::InstanceId id);

  /// Returns the number of instances taken out as outliers.
  std::size_t ejectedCount() const;

private:
  struct Peer {
    core::InstanceId Id;
    bool IsLocal = false;
    PeerLoad Load;
  };
  using Group = std::vector<std::size_t>;

  LoadBalancer(std::string_view dataCentre, RandomFunction random);
  Peer *find(core::InstanceId id);
  bool isEligible(const Peer &peer, std::span<const core::InstanceId> tried,
                  core::TimePoint now) const;
  Peer *drawEligible(const Group &group, const Peer *other,
                     std::span<const core::InstanceId> tried,
                     core::TimePoint now);
  Peer *lowerCost(Peer *a, Peer *b, core::TimePoint now) const;
  Peer *bestOfTwo(const Group &group, std::span<const core::InstanceId> tried,
                  core::TimePoint now);
  static bool isMuchSlower(const Peer &local, const Peer &remote);
  std::size_t maxEjected() const;

  std::string DataCentre;
  RandomFunction Random;
  std::vector<Peer> Peers;
  std::unordered_map<core::InstanceId, std::size_t> ById;
  Group Local;
  Group Remote;
};

} // namespace acaciaroad::requests

#endif
