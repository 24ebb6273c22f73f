#include "Ownership/WitnessPolicy.h"

#include <algorithm>
#include <tuple>

namespace acaciaroad::ownership {

namespace {

/// Sort key of a candidate; smaller is better.
using Rank = std::tuple<bool, std::size_t, bool, bool, bool, std::uint64_t>;

struct Chosen {
  std::vector<core::InstanceId> Ids;
  std::vector<const InstanceInfo *> Infos;

  std::size_t inDataCentre(const std::string &name) const {
    return std::count_if(Infos.begin(), Infos.end(), [&](const auto *it) {
      return it->DataCentre == name;
    });
  }
  bool hasRack(const InstanceInfo &info) const {
    return std::any_of(Infos.begin(), Infos.end(), [&](const auto *it) {
      return it->DataCentre == info.DataCentre && it->Rack == info.Rack;
    });
  }
};

/// Returns a hash that orders the candidates differently for each holder, to
/// distribute the load of witnesses.
std::uint64_t mix(std::uint64_t candidate, std::uint64_t holder) {
  constexpr std::uint64_t Odd = 0x9E3779B97F4A7C15U;
  std::uint64_t out = (candidate ^ (holder * Odd)) * Odd;
  out ^= out >> 32U;
  return out * Odd;
}

/// Returns the number of witnesses to choose from \p others other instances.
std::size_t countFor(std::size_t others) {
  if (others >= WitnessCount)
    return WitnessCount;
  return others > 0 ? 1 : 0;
}

std::size_t liveCount(const FleetMap &map) {
  std::size_t out = 0;
  for (const auto &[name, count] : map.dataCentreSizes())
    out += count;
  return out;
}

Rank rankOf(const InstanceInfo &info, const InstanceInfo &holder,
            const Chosen &chosen, bool isPresent, bool isAvoided) {
  const bool isNear = info.DataCentre == holder.DataCentre;
  const bool sharesRack =
      (isNear && info.Rack == holder.Rack) || chosen.hasRack(info);
  return {isAvoided,  chosen.inDataCentre(info.DataCentre), isNear, sharesRack,
          !isPresent, mix(info.Id.Value, holder.Id.Value)};
}

const InstanceInfo *best(const FleetMap &map, const InstanceInfo &holder,
                         std::span<const core::InstanceId> present,
                         const std::set<core::InstanceId> &avoided,
                         const Chosen &chosen) {
  const InstanceInfo *out = nullptr;
  Rank least;
  for (const auto &[id, state] : map.instances()) {
    const bool isTaken =
        std::find(chosen.Ids.begin(), chosen.Ids.end(), id) != chosen.Ids.end();
    if (state.Status != InstanceStatus::Live || id == holder.Id || isTaken)
      continue;
    const bool isPresent =
        std::find(present.begin(), present.end(), id) != present.end();
    const Rank rank =
        rankOf(*state.Info, holder, chosen, isPresent, avoided.contains(id));
    if (out == nullptr || rank < least) {
      out = state.Info.get();
      least = rank;
    }
  }
  return out;
}

} // namespace

std::vector<core::InstanceId>
chooseWitnesses(const FleetMap &map, const InstanceInfo &holder,
                std::span<const core::InstanceId> present,
                const std::set<core::InstanceId> &avoided) {
  std::size_t others = 0;
  for (const auto &[id, state] : map.instances())
    others += state.Status == InstanceStatus::Live && id != holder.Id ? 1 : 0;
  Chosen chosen;
  while (chosen.Ids.size() < countFor(others)) {
    const InstanceInfo *info = best(map, holder, present, avoided, chosen);
    chosen.Ids.push_back(info->Id);
    chosen.Infos.push_back(info);
  }
  return chosen.Ids;
}

WitnessSetQuality
evaluateWitnesses(const FleetMap &map,
                  std::span<const core::InstanceId> witnesses) {
  std::set<std::string_view> dataCentres;
  for (const core::InstanceId it : witnesses) {
    const InstanceState *state = map.instance(it);
    if (state == nullptr || state->Status != InstanceStatus::Live)
      return WitnessSetQuality::Deficient;
    dataCentres.insert(state->Info->DataCentre);
  }
  const std::size_t live = liveCount(map);
  if (live > 0 && witnesses.size() < countFor(live - 1))
    return WitnessSetQuality::Deficient;
  const std::size_t possible =
      std::min(witnesses.size(), map.dataCentreSizes().size());
  return dataCentres.size() < possible ? WitnessSetQuality::Colocated
                                       : WitnessSetQuality::Good;
}

} // namespace acaciaroad::ownership
