#include "Requests/LoadBalancer.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "Support/Random.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::requests;
using namespace acaciaroad::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint Start(seconds(10));
constexpr std::uint32_t Limit = 10;

core::InstanceId id(std::uint64_t n) { return core::InstanceId{n}; }

/// Observations about instance n + 1; the first `Local` instances are in the
/// balancer's own data centre.
struct Known {
  std::uint32_t InFlight = 0;
  std::uint32_t Limit = 10;
  int LatencyMilliseconds = 0;
  int Failures = 0;
};

struct ChoiceRow {
  const char *Name;
  std::size_t Local;
  std::vector<Known> Peers;
  std::vector<std::uint64_t> Tried;
  /// The instances that are chosen at least once in a thousand times.
  std::vector<std::uint64_t> Chosen;
};

const ChoiceRow ChoiceRows[] = {
    {"no instances", 0, {}, {}, {}},
    {"own data centre first", 2, {{}, {}, {}, {}}, {}, {1, 2}},
    {"remote if both local ones are saturated",
     2,
     {{12}, {11}, {3}, {5}},
     {},
     {3}},
    {"remote if the local one is much slower",
     1,
     {{2, 10, 400}, {2, 10, 50}},
     {},
     {2}},
    {"local if it is only a little slower",
     1,
     {{2, 10, 100}, {2, 10, 50}},
     {},
     {1}},
    {"local if the remote one has no latency yet",
     1,
     {{2, 10, 400}, {2}},
     {},
     {1}},
    {"the other local one if one is saturated",
     2,
     {{12}, {5}, {}, {}},
     {},
     {2}},
    {"the less loaded of two", 2, {{5}, {4}}, {}, {2}},
    {"never the most loaded of three", 3, {{5}, {4}, {3}}, {}, {2, 3}},
    {"the faster of two", 2, {{2, 10, 50}, {2, 10, 5}}, {}, {2}},
    {"none that was tried", 3, {{5}, {4}, {3}}, {3}, {2}},
    {"all tried", 2, {{}, {}}, {1, 2}, {}},
    {"none that accepts no requests", 2, {{0, 0}, {9}}, {}, {2}},
    {"no outlier", 3, {{0, 10, 0, 5}, {9}, {9}}, {}, {2, 3}},
    {"at most one of three is ejected",
     3,
     {{0, 10, 0, 5}, {0, 10, 0, 5}, {0, 10, 0, 5}},
     {},
     {2, 3}},
    {"the only instance is never ejected", 1, {{0, 10, 0, 9}}, {}, {1}},
};

LoadBalancer makeBalancer(Random &random, std::size_t local,
                          const std::vector<Known> &peers) {
  LoadBalancer out =
      LoadBalancer::create("here", [&] { return random.next(); }).value();
  std::vector<Candidate> candidates;
  for (std::size_t n = 0; n < peers.size(); ++n)
    candidates.push_back({id(n + 1), n < local ? "here" : "there"});
  out.setCandidates(candidates);
  for (std::size_t n = 0; n < peers.size(); ++n) {
    const Known &it = peers[n];
    out.reported(id(n + 1), {it.InFlight, 0, it.Limit}, Start);
    if (it.LatencyMilliseconds > 0) {
      out.sent(id(n + 1));
      out.ended(id(n + 1), AttemptOutcome::Answered,
                milliseconds(it.LatencyMilliseconds), Start);
    }
    for (int k = 0; k < it.Failures; ++k) {
      out.sent(id(n + 1));
      out.ended(id(n + 1), AttemptOutcome::NotSent, {}, Start);
    }
  }
  return out;
}

} // namespace

ACACIA_TABLE_TEST(LoadBalancerTest, takesTheBetterOfTwo, ChoiceRows) {
  Random random(1);
  LoadBalancer balancer = makeBalancer(random, row.Local, row.Peers);
  std::vector<core::InstanceId> tried;
  for (const std::uint64_t n : row.Tried)
    tried.push_back(id(n));
  std::set<std::uint64_t> chosen;
  for (int n = 0; n < 1000; ++n)
    if (const auto it = balancer.choose(tried, Start))
      chosen.insert(it->Value);
  cr_assert(std::ranges::equal(chosen, row.Chosen), "%s", row.Name);
}

Test(LoadBalancerTest, ownRequestsCountBeforeTheyAreReported) {
  Random random(1);
  LoadBalancer balancer = makeBalancer(random, 2, {{0, Limit}, {0, Limit}});
  std::map<std::uint64_t, int> sent;
  for (int n = 0; n < 16; ++n) {
    const core::InstanceId it = balancer.choose({}, Start).value();
    balancer.sent(it);
    ++sent[it.Value];
  }
  cr_assert_eq(sent[1], 8);
  cr_assert_eq(sent[2], 8);
}

// The age of an unanswered request counts as the latency of its instance.
Test(LoadBalancerTest, leavesTheOwnDataCentreForOneThatAnswers) {
  Random random(1);
  LoadBalancer balancer = makeBalancer(random, 1, {{2, 10, 100}, {2, 10, 100}});
  cr_assert(balancer.choose({}, Start) == id(1));
  balancer.sent(id(1));
  balancer.ended(id(1), AttemptOutcome::SentNoAnswer, seconds(2), Start);
  cr_assert(balancer.choose({}, Start) == id(2));
}

Test(LoadBalancerTest, outlierReturnsAfterAProbe) {
  Random random(1);
  LoadBalancer balancer = makeBalancer(random, 3, {{0, 10, 0, 5}, {9}, {9}});
  cr_assert_eq(balancer.ejectedCount(), 1);
  const std::vector<core::InstanceId> others{id(2), id(3)};
  core::TimePoint now = Start + milliseconds(999);
  cr_assert(!balancer.choose(others, now));
  now = Start + seconds(1);
  cr_assert(balancer.choose(others, now) == id(1));
  // One probe at a time; a failed probe doubles the ejection.
  balancer.sent(id(1));
  cr_assert(!balancer.choose(others, now));
  balancer.ended(id(1), AttemptOutcome::SentNoAnswer, {}, now);
  cr_assert(!balancer.choose(others, now + milliseconds(1999)));
  now += seconds(2);
  cr_assert(balancer.choose(others, now) == id(1));
  balancer.sent(id(1));
  balancer.ended(id(1), AttemptOutcome::Answered, milliseconds(2), now);
  cr_assert_eq(balancer.ejectedCount(), 0);
}

Test(LoadBalancerTest, oldReportsLoseWeight) {
  Random random(1);
  LoadBalancer balancer = makeBalancer(random, 2, {{9, 10}, {4, 10}});
  // A recent report of a low load outweighs an old report of a high one.
  const core::TimePoint later = Start + seconds(5);
  balancer.reported(id(2), {4, 0, 10}, later);
  cr_assert(balancer.choose({}, Start) == id(2));
  cr_assert(balancer.choose({}, later) == id(1));
}

namespace {

struct RemoteRow {
  const char *Name;
  /// Requests that run at the local and at the remote instance, of nine slots.
  std::uint32_t Local;
  std::uint32_t Remote;
  bool IsRemote;
};

const RemoteRow RemoteRows[] = {
    {"a free slot", 8, 0, false},
    {"saturated beside an idle one", 9, 0, true},
    {"saturated beside a less loaded one", 9, 6, true},
    {"saturated beside one that is about as loaded", 9, 7, false},
    {"both saturated", 9, 9, false},
};

} // namespace

// All data centres are nearly full: requests stay in their own one unless
// another is clearly less loaded.
ACACIA_TABLE_TEST(LoadBalancer, LeavesItsDataCentreForAGain, RemoteRows) {
  auto choice = *LoadBalancer::create("here", [] { return 0; });
  const core::InstanceId local = id(1);
  const core::InstanceId remote = id(2);
  const Candidate candidates[] = {{local, "here"}, {remote, "there"}};
  choice.setCandidates(candidates);
  const core::TimePoint now{};
  choice.reported(local, {row.Local, 0, 9}, now);
  choice.reported(remote, {row.Remote, 0, 9}, now);
  const auto chosen = choice.choose({}, now);
  cr_assert(chosen == (row.IsRemote ? remote : local), "%s", row.Name);
}
