#include "Rollouts/VersionTraffic.h"

#include <utility>

namespace acaciaroad::rollouts {

void VersionTraffic::setShare(std::string_view service,
                              std::optional<VersionShare> share) {
  const auto it = Services.find(service);
  if (!share) {
    if (it != Services.end())
      Services.erase(it);
    return;
  }
  if (it != Services.end() && it->second.Share.Version == share->Version)
    it->second.Share = std::move(*share);
  else
    Services.insert_or_assign(
        std::string(service),
        ServiceTraffic{std::move(*share), VersionChoice(Start()), {}});
}

const VersionShare *VersionTraffic::find(std::string_view service) const {
  const auto it = Services.find(service);
  return it == Services.end() ? nullptr : &it->second.Share;
}

bool VersionTraffic::takesNext(std::string_view service, core::TimePoint now) {
  const auto it = Services.find(service);
  return it != Services.end() &&
         it->second.Choice.takesNext(it->second.Share.shareAt(now));
}

void VersionTraffic::answered(std::string_view service, std::string_view route,
                              bool isNext, bool isFailure,
                              core::Duration latency) {
  const auto it = Services.find(service);
  if (it == Services.end())
    return;
  auto found = it->second.Routes.find(route);
  if (found == it->second.Routes.end())
    found = it->second.Routes
                .emplace(std::string(route),
                         RouteCounts{std::string(route), {}, {}})
                .first;
  (isNext ? found->second.Next : found->second.Former).add(isFailure, latency);
}

std::vector<CountReport> VersionTraffic::reports() const {
  std::vector<CountReport> out;
  for (const auto &[service, it] : Services) {
    out.push_back({"", 0, service, it.Share.Version, {}, {}});
    for (const auto &[route, counts] : it.Routes)
      out.back().Routes.push_back(counts);
  }
  return out;
}

} // namespace acaciaroad::rollouts
