#include "Feed/RelaySelector.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::feed;
using core::TimePoint;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint() + seconds(100);

/// Twice the mean: names are hashed.
constexpr std::size_t MaxNodesPerReader = 40;

struct FleetRow {
  const char *Name;
  std::size_t Nodes;
  std::size_t DataCentres;
  std::size_t Readers;
};

const FleetRow FleetRows[] = {
    {"one node", 1, 1, 1},
    {"two nodes", 2, 1, 2},
    {"a small deployment", 13, 3, 2},
    {"81 nodes in three data centres", 81, 3, 5},
    {"195 nodes in five data centres", 195, 5, 10},
    {"300 nodes in one data centre", 300, 1, 15},
};

class Fleet {
public:
  explicit Fleet(const FleetRow &row) {
    for (std::size_t n = 0; n < row.Nodes; ++n) {
      Names.push_back("node-" + std::to_string(n));
      DataCentres.push_back("dc-" + std::to_string(n % row.DataCentres));
      Hosts.push_back("10.0.0." + std::to_string(n));
    }
    for (std::size_t n = 0; n < row.Nodes; ++n) {
      Candidates.push_back({Names[n], DataCentres[n], Hosts[n]});
      Selectors.emplace_back(Names[n], DataCentres[n]);
    }
    for (RelaySelector &it : Selectors)
      it.update(Candidates);
  }

  /// Returns the number of nodes that each host serves now.
  std::map<std::string, std::size_t> load(TimePoint now) const {
    std::map<std::string, std::size_t> out;
    for (const RelaySelector &it : Selectors)
      if (const auto host = it.select(now))
        ++out[*host];
    return out;
  }

  std::vector<std::string> Names;
  std::vector<std::string> DataCentres;
  std::vector<std::string> Hosts;
  std::vector<RelayCandidate> Candidates;
  std::vector<RelaySelector> Selectors;
};

} // namespace

ACACIA_TABLE_TEST(RelaySelector, ReadersFollowTheFleet, FleetRows) {
  const Fleet fleet(row);
  std::set<std::string> readers;
  for (std::size_t n = 0; n < row.Nodes; ++n)
    if (fleet.Selectors[n].isReader())
      readers.insert(fleet.Hosts[n]);
  cr_assert_eq(readers.size(), row.Readers, "%s: %zu", row.Name,
               readers.size());
  for (const auto &[host, n] : fleet.load(Start)) {
    cr_assert(readers.contains(host), "%s: %s", row.Name, host.c_str());
    cr_assert_leq(n, MaxNodesPerReader, "%s: %s serves %zu", row.Name,
                  host.c_str(), n);
  }
  // With a reader in each data centre, no node reads across data centres.
  if (row.Readers < row.DataCentres)
    return;
  for (std::size_t n = 0; n < row.Nodes; ++n)
    if (const auto host = fleet.Selectors[n].select(Start)) {
      const auto reader = std::stoul(host->substr(host->rfind('.') + 1));
      cr_assert_eq(fleet.DataCentres[n], fleet.DataCentres[reader], "%s",
                   row.Name);
    }
}

// When a reader is lost, its nodes go to other readers, and return later.
ACACIA_TABLE_TEST(RelaySelector, PassesOverAFailedReader, FleetRows) {
  Fleet fleet(row);
  const auto before = fleet.load(Start);
  if (before.size() < 2)
    return;
  const std::string lost = before.begin()->first;
  for (RelaySelector &it : fleet.Selectors)
    if (it.select(Start) == lost)
      it.failed(lost, Start);
  std::size_t nodes = 0;
  for (const auto &[host, n] : fleet.load(Start + seconds(1))) {
    cr_assert_neq(host, lost, "%s", row.Name);
    nodes += n;
  }
  for (const auto &[host, n] : before)
    nodes -= n;
  cr_assert_eq(nodes, 0U, "%s: nodes without a reader", row.Name);
  cr_assert(fleet.load(Start + seconds(5)) == before, "%s", row.Name);
}

Test(RelaySelector, SelectsNoneIfAllFailed) {
  Fleet fleet({"", 13, 3, 2});
  for (RelaySelector &it : fleet.Selectors) {
    if (it.isReader())
      continue;
    while (const auto host = it.select(Start))
      it.failed(*host, Start);
    cr_assert_not(it.isReader());
  }
  cr_assert(fleet.load(Start).empty());
}

Test(RelaySelector, KeepsFailuresWhenTheFleetChanges) {
  Fleet fleet({"", 195, 5, 10});
  for (RelaySelector &it : fleet.Selectors) {
    if (it.isReader())
      continue;
    const auto host = it.select(Start);
    it.failed(*host, Start);
    cr_assert_not(it.update(fleet.Candidates));
    cr_assert_neq(*it.select(Start), *host);
  }
}
