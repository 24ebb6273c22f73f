/// \file
/// What an operator's configuration says of routes, services and accounts.

#ifndef ACACIAROAD_ROUTING_ROUTINGTYPES_H
#define ACACIAROAD_ROUTING_ROUTINGTYPES_H

#include <cstdint>
#include <string>
#include <vector>

#include "Accounts/TokenBucket.h"
#include "Core/Clock.h"

namespace acaciaroad::routing {

/// What may be repeated.
enum class WorkKind : std::uint8_t {
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  AtMostOnce,
  /// Runs at most once, with a large body.
  Upload,
};

/// One part of a route's traffic.
struct WeightedService {
  std::string Service;
  /// Relative to the other parts; above 0.
  double Weight = 1;
};

struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  WorkKind Kind = WorkKind::AtMostOnce;
  core::Duration Timeout{};
  /// An answer earns its full worth up to it.
  core::Duration LatencyTarget{};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// At least one.
  std::vector<WeightedService> Services;
  /// Upstreams that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  /// Needs no key of a client account.
  bool IsPublic = false;
};

struct Service {
  std::string Name;
  std::string HealthPath;
  /// Connections that one upstream accepts.
  std::uint32_t MaxConnections = 0;
  /// How long an upstream stays cold after its start.
  core::Duration ColdStart{};
  /// Requests a second that a cold upstream bears; 0 means no bound.
  double ColdRate = 0;
  /// Upstreams hold keys exclusively.
  bool IsKeyed = false;
  /// How long keys stay slow that come without their former holder's state.
  core::Duration Warmup{};
};

struct ClientAccount {
  std::string Name;
  std::vector<std::string> Keys;
  /// Overrides the route's, if set.
  std::int32_t Priority = -1;
  /// A rate of 0 means no limit.
  accounts::AccountRate Rate;
};

/// What a client may send.
struct ClientLimits {
  std::uint32_t HeaderBytes = 16'384;
  std::uint64_t BodyBytes = 67'108'864;
  core::Duration HeaderTimeout = std::chrono::seconds(3);
  core::Duration IdleTimeout = std::chrono::seconds(15);
};

/// A whole configuration.
struct Configuration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<ClientAccount> Accounts;
  ClientLimits Limits;
};

} // namespace acaciaroad::routing

#endif
