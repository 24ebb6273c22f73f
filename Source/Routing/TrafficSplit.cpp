#include "Routing/TrafficSplit.h"

#include <algorithm>

namespace acaciaroad::routing {

namespace {

bool isSame(const TrafficPart &a, const TrafficPart &b) {
  return a.Service == b.Service && a.Weight == b.Weight;
}

} // namespace

const TrafficPart &TrafficSplit::next(const Route &route) {
  if (route.Parts.size() == 1)
    return route.Parts.front();
  State &state = Routes[route.Name];
  if (!std::equal(state.Parts.begin(), state.Parts.end(), route.Parts.begin(),
                  route.Parts.end(), isSame)) {
    state.Parts = route.Parts;
    state.Credits.assign(route.Parts.size(), 0);
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t n = 0; n < route.Parts.size(); ++n) {
    state.Credits[n] += route.Parts[n].Weight;
    total += route.Parts[n].Weight;
    if (state.Credits[n] > state.Credits[best])
      best = n;
  }
  state.Credits[best] -= total;
  return route.Parts[best];
}

} // namespace acaciaroad::routing
