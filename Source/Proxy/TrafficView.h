/// \file
/// Control state that the traffic thread reads.

#ifndef ACACIAROAD_PROXY_TRAFFICVIEW_H
#define ACACIAROAD_PROXY_TRAFFICVIEW_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Identifiers.h"
#include "Holdings/HoldingTypes.h"
#include "Rollouts/VersionTraffic.h"
#include "Routing/RouteTable.h"

namespace acaciaroad::proxy {

/// A node and its upstream.
struct Peer {
  std::string Name;
  std::string DataCentre;
  core::Endpoint Address;
  core::InstanceId Id;
  holdings::UpstreamProcess Process;
  /// The upstream accepts new requests.
  bool IsOpen = false;
  /// The node stops within seconds; connections to it are not kept.
  bool IsStopping = false;
  /// Version of the upstream's software; empty if it isn't known.
  std::string Version{};
};

/// One service as entry nodes see it.
struct ServiceView {
  std::vector<Peer> Peers;
  /// Sorted by key; empty unless the service is keyed.
  std::vector<holdings::Holding> Holdings;
  /// Set while a roll-out of the service runs.
  std::optional<rollouts::VersionShare> Rollout;
};

/// The upstream of this node.
struct OwnUpstream {
  /// Name of this node.
  std::string Node;
  /// Service of the upstream.
  std::string Service;
  holdings::UpstreamProcess Process;
  /// The upstream accepts new requests.
  bool IsOpen = false;
  std::uint32_t Slots = 0;
  core::TimePoint ColdUntil{};
  /// Mean service time on the other nodes of the service; 0 if unknown.
  core::Duration TypicalServiceTime{};
  /// When the latest heartbeat came.
  core::TimePoint HeardAt{};
  /// Keys of the upstream's latest grant.
  std::vector<holdings::Holding> Granted;
  core::TimePoint GrantedUntil{};
};

/// Snapshot of the control state. Immutable and replaced as a whole.
struct TrafficView {
  /// Null until a configuration is known.
  std::shared_ptr<const routing::RouteTable> Routes;
  std::map<std::string, ServiceView, std::less<>> Services;
  OwnUpstream Own;
  /// Sorted names of the nodes that serve callers.
  std::vector<std::string> Nodes;
};

/// Returns the row of sorted \p rows that contains \p key, or nullptr.
const holdings::Holding *findHolding(std::span<const holdings::Holding> rows,
                                     holdings::Key key);

/// Returns the peer of a service by its node's name, or nullptr.
const Peer *findPeer(const ServiceView &service, std::string_view node);

} // namespace acaciaroad::proxy

#endif
