#include "Feed/RelaySelector.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>

#include "Core/Identifiers.h"

namespace acaciaroad::feed {

namespace {

constexpr std::size_t MinReaders = 2;

/// Nodes for each reader. A node sends its reader about four small requests a
/// second, which a machine with a tenth of a core can answer for this many.
constexpr std::size_t NodesPerReader = 20;

/// Time for which a reader that failed is passed over. A lost node leaves the
/// candidates when its lease has expired, after several seconds.
constexpr core::Duration FailureRetention = std::chrono::seconds(3);

} // namespace

std::size_t readerCount(std::size_t nodes) {
  return std::max(MinReaders, (nodes + NodesPerReader - 1) / NodesPerReader);
}

std::vector<RelayCandidate>
selectReaders(std::span<const RelayCandidate> candidates) {
  std::vector<std::pair<std::uint64_t, RelayCandidate>> hashed;
  hashed.reserve(candidates.size());
  for (const RelayCandidate &it : candidates)
    hashed.emplace_back(core::hashOf(it.Name), it);
  std::sort(hashed.begin(), hashed.end(), [](const auto &a, const auto &b) {
    return std::tie(a.first, a.second.Name) < std::tie(b.first, b.second.Name);
  });
  // The first node of each data centre comes first, then the second ones.
  std::map<std::string_view, std::size_t> taken;
  std::vector<std::pair<std::size_t, RelayCandidate>> ranked;
  ranked.reserve(hashed.size());
  for (const auto &[hash, it] : hashed)
    ranked.emplace_back(taken[it.DataCentre]++, it);
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto &a, const auto &b) { return a.first < b.first; });
  std::vector<RelayCandidate> out;
  const std::size_t n = std::min(ranked.size(), readerCount(ranked.size()));
  for (const auto &[rank, it] : std::span(ranked).first(n))
    out.push_back(it);
  return out;
}

bool RelaySelector::update(std::span<const RelayCandidate> candidates) {
  auto readers = selectReaders(candidates);
  const bool isReader =
      readers.size() < MinReaders ||
      std::any_of(readers.begin(), readers.end(),
                  [&](const auto &it) { return it.Name == Name; });
  if (isReader)
    readers.clear();
  const auto preference = [&](const RelayCandidate &it) {
    return std::tuple(it.DataCentre != DataCentre,
                      core::hashOf(Name + '/' + std::string(it.Name)));
  };
  std::sort(readers.begin(), readers.end(), [&](const auto &a, const auto &b) {
    return preference(a) < preference(b);
  });
  std::vector<Host> hosts;
  for (const RelayCandidate &it : readers) {
    const auto known =
        std::find_if(Hosts.begin(), Hosts.end(),
                     [&](const Host &host) { return host.Address == it.Host; });
    hosts.push_back({std::string(it.Host), known == Hosts.end()
                                               ? core::TimePoint{}
                                               : known->RetryAt});
  }
  const bool isSame =
      IsUpdated && std::equal(hosts.begin(), hosts.end(), Hosts.begin(),
                              Hosts.end(), [](const Host &a, const Host &b) {
                                return a.Address == b.Address;
                              });
  IsUpdated = true;
  Hosts = std::move(hosts);
  return !isSame;
}

std::optional<std::string> RelaySelector::select(core::TimePoint now) const {
  const auto it =
      std::find_if(Hosts.begin(), Hosts.end(),
                   [&](const Host &host) { return now >= host.RetryAt; });
  if (it == Hosts.end())
    return std::nullopt;
  return it->Address;
}

void RelaySelector::failed(std::string_view host, core::TimePoint now) {
  for (Host &it : Hosts)
    if (it.Address == host)
      it.RetryAt = now + FailureRetention;
}

} // namespace acaciaroad::feed
