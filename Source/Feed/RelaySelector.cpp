#include "Feed/RelaySelector.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>

#include "Core/Identifiers.h"

namespace acaciaroad::feed {

namespace {

/// There are at least two readers, as one may fail.
constexpr std::size_t MinReaders = 2;

/// Nodes for each reader. A node sends its reader about four small requests a
/// second, which a machine with a tenth of a core can answer for this many.
constexpr std::size_t NodesPerReader = 20;

/// Time for which a reader that failed is passed over. A lost node leaves the
/// candidates when its lease has expired, after several seconds.
constexpr core::Duration FailureRetention = std::chrono::seconds(3);

std::size_t readerCount(std::size_t nodes) {
  return std::max(MinReaders, (nodes + NodesPerReader - 1) / NodesPerReader);
}

/// Returns the nodes that read the logs directly.
std::vector<RelayCandidate>
selectReaders(std::span<const RelayCandidate> candidates) {
  struct Ranked {
    std::uint64_t Hash = 0;
    RelayCandidate Node;
    /// Position among the nodes of its data centre.
    std::size_t Rank = 0;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(candidates.size());
  for (const RelayCandidate &it : candidates)
    ranked.push_back({core::hashOf(it.Name), it, 0});
  std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
    return std::tie(a.Hash, a.Node.Name) < std::tie(b.Hash, b.Node.Name);
  });
  std::map<std::string_view, std::size_t> taken;
  for (Ranked &it : ranked)
    it.Rank = taken[it.Node.DataCentre]++;
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto &a, const auto &b) { return a.Rank < b.Rank; });
  ranked.resize(std::min(ranked.size(), readerCount(ranked.size())));
  std::vector<RelayCandidate> out;
  out.reserve(ranked.size());
  for (const Ranked &it : ranked)
    out.push_back(it.Node);
  return out;
}

} // namespace

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
