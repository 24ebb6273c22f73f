/// \file
/// Routes, services and client accounts of an operator's configuration.

#ifndef ACACIAROAD_ROUTING_ROUTINGTYPES_H
#define ACACIAROAD_ROUTING_ROUTINGTYPES_H

#include <cstdint>
#include <string>
#include <vector>

#include "Accounts/TokenBucket.h"
#include "Core/Clock.h"

namespace acaciaroad::routing {

/// Whether a request may be retried after it may have run.
enum class WorkKind : std::uint8_t {
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  AtMostOnce,
  /// Runs at most once, with a large body.
  Upload,
  /// A kind that this release doesn't know; its requests are refused.
  Unsupported,
};

/// A service that gets a share of a route's requests.
struct WeightedService {
  std::string Service;
  /// Share of the requests relative to the route's other services; above 0.
  double Weight = 1;
};

struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  WorkKind Kind = WorkKind::AtMostOnce;
  /// What the configuration says, if the kind is Unsupported.
  std::string UnknownKind;
  core::Duration Timeout{};
  /// Answers within this time have their full value.
  core::Duration LatencyTarget{};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// At least one; requests are divided by weight.
  std::vector<WeightedService> Services;
  /// Number of upstreams that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  /// Requests need no key of a client account.
  bool IsPublic = false;
};

struct Service {
  std::string Name;
  std::string HealthPath;
  /// Number of connections that one upstream accepts.
  std::uint32_t MaxConnections = 0;
  /// How long after its start an upstream counts as cold.
  core::Duration ColdStart{};
  /// Requests per second that a cold upstream can handle; 0 means no limit.
  double ColdRate = 0;
  /// Requests are sharded by key: each key is held by one upstream at a time.
  bool IsKeyed = false;
  /// How long requests for a key stay slow after it moved to another upstream
  /// without the state of its former holder.
  core::Duration Warmup{};
};

struct ClientAccount {
  std::string Name;
  std::vector<std::string> Keys;
  /// Overrides the route's priority unless negative.
  std::int32_t Priority = -1;
  /// A rate of 0 means no limit.
  accounts::AccountRate Rate;
};

/// Limits on the requests of clients.
struct ClientLimits {
  std::uint32_t HeaderBytes = 16'384;
  std::uint64_t BodyBytes = 67'108'864;
  core::Duration HeaderTimeout = std::chrono::seconds(3);
  core::Duration IdleTimeout = std::chrono::seconds(15);
};

/// A complete configuration.
struct Configuration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<ClientAccount> Accounts;
  ClientLimits Limits;
};

} // namespace acaciaroad::routing

#endif
