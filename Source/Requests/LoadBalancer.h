/// \file
/// Load balancing of requests that any instance of a service can handle.

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

/// An instance of a service and its data centre.
struct Candidate {
  core::InstanceId Id;
  std::string DataCentre;
};

/// Returns uniformly distributed 64-bit numbers.
using RandomFunction = std::function<std::uint64_t()>;

/// Balances requests over the instances of one service by the power of two
/// choices: takes the instance of lower cost of two random ones. Prefers the
/// own data centre unless its instance is saturated or much slower. Keeps the
/// load, latency and failures that this node observes for each instance.
class LoadBalancer {
public:
  /// Fails with InvalidArgument if \p random is empty.
  static core::Result<LoadBalancer> create(std::string_view dataCentre,
                                           RandomFunction random);

  /// Sets the instances of the service. Statistics of instances that remain are
  /// kept.
  void setCandidates(std::span<const Candidate> candidates);

  /// Records the load that an instance reported.
  void reported(core::InstanceId id, const ReportedLoad &load,
                core::TimePoint now);

  /// Chooses an eligible instance that is not in \p tried; returns nothing if
  /// there is none.
  std::optional<core::InstanceId>
  choose(std::span<const core::InstanceId> tried, core::TimePoint now);

  /// Counts a request that is about to be sent to an instance.
  void sent(core::InstanceId id);

  /// Records how a request to an instance ended. \p latency is the time since
  /// it was sent.
  void ended(core::InstanceId id, AttemptOutcome outcome,
             core::Duration latency, core::TimePoint now);

  /// Records that a request to an instance was abandoned; this has no effect on
  /// the instance's latency and health.
  void abandoned(core::InstanceId id);

  /// Returns the number of instances that are ejected as outliers.
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
  /// Whether the best remote instance goes before the best local one.
  static bool prefersRemote(const Peer &local, const Peer *remote,
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
