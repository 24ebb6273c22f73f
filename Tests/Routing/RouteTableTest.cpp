#include "Routing/RouteTable.h"

#include <cmath>
#include <numeric>

#include "Routing/TrafficSplit.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::routing;

namespace {

Route makeRoute(std::string name, std::string host, std::string prefix,
                std::string service) {
  Route out;
  out.Name = std::move(name);
  out.Host = std::move(host);
  out.PathPrefix = std::move(prefix);
  out.Services = {{std::move(service), 1}};
  return out;
}

ClientAccount makeAccount(std::string name, std::vector<std::string> keys) {
  ClientAccount out;
  out.Name = std::move(name);
  out.Keys = std::move(keys);
  return out;
}

Configuration makeConfiguration() {
  Configuration out;
  out.Services.emplace_back().Name = "s";
  out.Routes = {makeRoute("root", "a.example", "/", "s"),
                makeRoute("one", "a.example", "/one/", "s"),
                makeRoute("deep", "a.example", "/one/two/", "s"),
                makeRoute("other", "b.example", "/one/", "s")};
  out.Accounts.push_back(makeAccount("first", {"k1", "k2"}));
  return out;
}

struct FindRow {
  const char *Name;
  const char *Host;
  const char *Path;
  /// Name of the route; empty if none is found.
  const char *Route;
};

const FindRow FindRows[] = {
    {"longest prefix", "a.example", "/one/two/x", "deep"},
    {"shorter prefix", "a.example", "/one/x", "one"},
    {"a prefix ends with a slash", "a.example", "/one", "root"},
    {"the prefix itself", "a.example", "/one/", "one"},
    {"a query is ignored", "a.example", "/x?y=/one/two/", "root"},
    {"a port is ignored", "a.example:80", "/one/x", "one"},
    {"hosts are case-insensitive", "A.Example", "/one/x", "one"},
    {"no matching route of the host", "b.example", "/two/", ""},
    {"unknown host", "c.example", "/one/", ""},
    {"no path", "a.example", "*", ""},
};

struct InvalidRow {
  const char *Name;
  void (*Break)(Configuration &);
};

const InvalidRow InvalidRows[] = {
    {"unknown service",
     [](Configuration &it) { it.Routes[0].Services[0].Service = "t"; }},
    {"no service", [](Configuration &it) { it.Routes[0].Services.clear(); }},
    {"same host and prefix",
     [](Configuration &it) { it.Routes[0].PathPrefix = "/one/"; }},
    {"a key of two accounts",
     [](Configuration &it) {
       it.Accounts.push_back(makeAccount("second", {"k1"}));
     }},
};

struct SplitRow {
  const char *Name;
  std::vector<double> Weights;
};

const SplitRow SplitRows[] = {{"even", {1, 1}},
                              {"nine to one", {90, 10}},
                              {"three services", {5, 3, 2}},
                              {"weight 0 first", {0, 3, 1}},
                              {"weight 0 in the middle", {2, 0, 1}},
                              {"weight 0 last", {1, 0}},
                              {"parts of one", {0.1, 0.7, 0.2}}};

struct SplitChangeRow {
  const char *Name;
  std::vector<double> Before;
  std::vector<double> After;
};

const SplitChangeRow SplitChangeRows[] = {
    {"reversed", {90, 10}, {10, 90}},
    {"weight 0 from then on", {1, 1}, {1, 0}},
    {"weight 0 before", {1, 0}, {1, 1}},
    {"a service less", {1, 1, 2}, {1, 3}},
    {"a service more", {1, 3}, {1, 1, 2}},
    {"a single service before", {1}, {3, 1}},
    {"the same", {3, 1}, {3, 1}},
};

Route makeSplitRoute(const std::vector<double> &weights) {
  Route out = makeRoute("r", "h", "/", "s");
  out.Services.clear();
  for (const double it : weights)
    out.Services.push_back({std::to_string(out.Services.size()), it});
  return out;
}

/// Checks after each of \p requests that each service has its share of them,
/// to less than one request.
void assertShares(TrafficSplit &split, const std::vector<double> &weights,
                  int requests, const char *name) {
  const Route route = makeSplitRoute(weights);
  const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
  std::vector<double> counts(weights.size());
  for (int n = 1; n <= requests; ++n) {
    ++counts[std::stoul(split.next(route).Service)];
    for (std::size_t it = 0; it < counts.size(); ++it)
      cr_assert_lt(std::abs(counts[it] - n * weights[it] / total), 1.0,
                   "%s after %d", name, n);
  }
  for (std::size_t it = 0; it < counts.size(); ++it)
    cr_assert(weights[it] > 0 || counts[it] == 0, "%s", name);
}

} // namespace

ACACIA_TABLE_TEST(RouteTable, Finds, FindRows) {
  const auto table = RouteTable::create(makeConfiguration());
  cr_assert(table.has_value());
  const Route *found = (*table)->findRoute(row.Host, row.Path);
  cr_assert_str_eq(found == nullptr ? "" : found->Name.c_str(), row.Route, "%s",
                   row.Name);
}

ACACIA_TABLE_TEST(RouteTable, RefusesInvalid, InvalidRows) {
  Configuration configuration = makeConfiguration();
  row.Break(configuration);
  cr_assert_not(RouteTable::create(configuration).has_value(), "%s", row.Name);
}

Test(RouteTable, FindsAccountsByKey) {
  const auto table = RouteTable::create(makeConfiguration());
  cr_assert_eq((*table)->findAccount("k2")->Name, "first");
  cr_assert_null((*table)->findAccount("k3"));
}

ACACIA_TABLE_TEST(TrafficSplit, KeepsEachShare, SplitRows) {
  TrafficSplit split;
  assertShares(split, row.Weights, 1000, row.Name);
}

// The configuration changes at any time between two requests.
ACACIA_TABLE_TEST(TrafficSplit, FollowsNewWeights, SplitChangeRows) {
  for (int before = 0; before < 20; ++before) {
    TrafficSplit split;
    assertShares(split, row.Before, before, row.Name);
    assertShares(split, row.After, 200, row.Name);
  }
}
