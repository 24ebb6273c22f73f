/// \file
/// Division of a route's requests among its services.

#ifndef ACACIAROAD_ROUTING_TRAFFICSPLIT_H
#define ACACIAROAD_ROUTING_TRAFFICSPLIT_H

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Routing/RoutingTypes.h"

namespace acaciaroad::routing {

/// Smooth weighted round robin: at any time, each service is less than one
/// request behind its share.
class TrafficSplit {
public:
  /// Returns the service that the next request of \p route goes to.
  const WeightedService &next(const Route &route);

private:
  struct State {
    std::vector<WeightedService> Services;
    std::vector<double> Credits;
  };
  std::unordered_map<std::string, State> Routes;
};

} // namespace acaciaroad::routing

#endif
