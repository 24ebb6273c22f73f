/// \file
/// What an upstream tells the node beside it, and what that node tells peers.

#ifndef ACACIAROAD_UPSTREAM_UPSTREAMANNOUNCEMENT_H
#define ACACIAROAD_UPSTREAM_UPSTREAMANNOUNCEMENT_H

#include <cstdint>
#include <string>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// An upstream's description of itself. It is a claim: it can lower what the
/// node sends but never raise it above what the node has observed.
struct UpstreamAnnouncement {
  std::string Service;
  /// "ip:port" that takes orders.
  std::string Address;
  /// Changes with each start of the upstream's process.
  std::uint64_t BootId = 0;
  /// Orders that the upstream can work on at once.
  std::uint32_t Slots = 0;
  /// Connections that the upstream accepts.
  std::uint32_t Connections = 0;
  /// Whether orders with a stale or expired grant are refused.
  bool ChecksGrants = false;
  /// Whether orders are dropped at their deadline.
  bool HonoursDeadlines = false;
  /// Whether the upstream says that it is in a cold start.
  bool Cold = false;
  bool operator==(const UpstreamAnnouncement &) const = default;
};

/// The load of one node's upstream, as peers are told it.
struct LoadReport {
  /// Orders sent and not finished.
  std::uint32_t InFlight = 0;
  /// Requests waiting for a slot.
  std::uint32_t Queued = 0;
  /// Orders that may be in flight at present; 0 takes no work.
  std::uint32_t Limit = 0;
  /// Mean service time of recent orders over all classes.
  core::Duration ServiceTime{};
  bool operator==(const LoadReport &) const = default;
};

} // namespace acaciaroad::upstream

#endif
