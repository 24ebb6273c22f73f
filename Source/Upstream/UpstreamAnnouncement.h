/// \file
/// What an upstream announces to its node, and the load that the node reports
/// to its peers.

#ifndef ACACIAROAD_UPSTREAM_UPSTREAMANNOUNCEMENT_H
#define ACACIAROAD_UPSTREAM_UPSTREAMANNOUNCEMENT_H

#include <cstdint>
#include <string>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// An upstream's description of itself. It is not trusted: it can lower the
/// concurrency that the node uses, but never raise it above what the node has
/// observed the upstream to handle.
struct UpstreamAnnouncement {
  std::string Service;
  /// "ip:port" on which the upstream accepts orders.
  std::string Address;
  /// Changes with every start of the upstream's process.
  std::uint64_t BootId = 0;
  /// Number of orders that the upstream can process concurrently.
  std::uint32_t Slots = 0;
  /// Maximum number of connections that the upstream accepts.
  std::uint32_t Connections = 0;
  /// Whether the upstream refuses orders with a stale or expired grant.
  bool ChecksGrants = false;
  /// Whether the upstream drops orders at their deadline.
  bool HonoursDeadlines = false;
  /// Whether the upstream reports that it is in a cold start.
  bool Cold = false;
  bool operator==(const UpstreamAnnouncement &) const = default;
};

/// The load of a node's upstream, as reported to peers.
struct LoadReport {
  /// Orders sent but not finished.
  std::uint32_t InFlight = 0;
  /// Requests waiting for a slot.
  std::uint32_t Queued = 0;
  /// Current concurrency limit; 0 if the node accepts no work.
  std::uint32_t Limit = 0;
  /// Mean service time of recent orders of all work classes.
  core::Duration ServiceTime{};
  bool operator==(const LoadReport &) const = default;
};

} // namespace acaciaroad::upstream

#endif
