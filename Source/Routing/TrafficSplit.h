/// \file
/// Divides the requests of a route among its services.

#ifndef ACACIAROAD_ROUTING_TRAFFICSPLIT_H
#define ACACIAROAD_ROUTING_TRAFFICSPLIT_H

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Routing/RoutingTypes.h"

namespace acaciaroad::routing {

/// Smooth weighted round robin: each part is behind its share by less than one
/// request at any time.
class TrafficSplit {
public:
  /// Returns the part that the next request of \p route goes to.
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
