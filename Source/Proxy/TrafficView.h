/// \file
/// What the control thread tells the traffic thread.

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
#include "Routing/RouteTable.h"

namespace acaciaroad::proxy {

/// A node and the upstream beside it.
struct Peer {
  std::string Name;
  std::string DataCentre;
  core::Endpoint Address;
  core::InstanceId Id;
  holdings::UpstreamProcess Life;
  /// It may be given new work.
  bool IsOpen = false;
  /// The node ends within seconds; connections to it are not kept.
  bool IsStopping = false;
};

/// One service as entry nodes see it.
struct ServiceView {
  std::vector<Peer> Peers;
  /// In the order of keys; empty unless the service is keyed.
  std::vector<holdings::Holding> Holdings;
};

/// The own upstream.
struct OwnUpstream {
  /// Name of the own node.
  std::string Node;
  holdings::UpstreamProcess Life;
  /// New work is accepted.
  bool IsOpen = false;
  std::uint32_t Slots = 0;
  core::TimePoint ColdUntil{};
  /// When the heartbeat that tells all this came.
  core::TimePoint HeardAt{};
  /// Keys that the upstream was granted last.
  std::vector<holdings::Holding> Granted;
  core::TimePoint GrantedUntil{};
};

/// Immutable; replaced as a whole.
struct TrafficView {
  /// Null until a configuration is known.
  std::shared_ptr<const routing::RouteTable> Routes;
  std::map<std::string, ServiceView, std::less<>> Services;
  OwnUpstream Own;
  /// Names of the nodes that serve callers, in their order.
  std::vector<std::string> Nodes;
};

/// Returns the row that \p key is in, or nullptr.
const holdings::Holding *findHolding(std::span<const holdings::Holding> rows,
                                     holdings::Key key);

/// Returns the peer of a service by its node's name, or nullptr.
const Peer *findPeer(const ServiceView &service, std::string_view node);

} // namespace acaciaroad::proxy

#endif
