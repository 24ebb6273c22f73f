#include "Routing/TrafficSplit.h"

#include <algorithm>

namespace acaciaroad::routing {

namespace {

bool isSame(const WeightedService &a, const WeightedService &b) {
  return a.Service == b.Service && a.Weight == b.Weight;
}

} // namespace

const WeightedService &TrafficSplit::next(const Route &route) {
  if (route.Services.size() == 1)
    return route.Services.front();
  State &state = Routes[route.Name];
  if (!std::equal(state.Services.begin(), state.Services.end(),
                  route.Services.begin(), route.Services.end(), isSame)) {
    state.Services = route.Services;
    state.Credits.assign(route.Services.size(), 0);
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t n = 0; n < route.Services.size(); ++n) {
    state.Credits[n] += route.Services[n].Weight;
    total += route.Services[n].Weight;
    if (state.Credits[n] > state.Credits[best])
      best = n;
  }
  state.Credits[best] -= total;
  return route.Services[best];
}

} // namespace acaciaroad::routing
