#include "Rollouts/CountLedger.h"

#include <numeric>
#include <span>

namespace acaciaroad::rollouts {

using std::chrono::milliseconds;

namespace {

/// Length of the window of the last seconds.
constexpr core::Duration RecentTime = std::chrono::seconds(5);

/// Least time between two snapshots of the sums.
constexpr core::Duration SnapshotInterval = milliseconds(500);

std::uint64_t answersOf(std::span<const RouteCounts> routes) {
  return std::transform_reduce(routes.begin(), routes.end(), std::uint64_t{0},
                               std::plus<>(), [](const RouteCounts &it) {
                                 return it.Former.answers() + it.Next.answers();
                               });
}

} // namespace

void CountLedger::receive(const CountReport &report) {
  CountReport &known = Reports[{report.Node, report.Incarnation}];
  // A datagram may overtake an earlier one.
  if (answersOf(known.Routes) <= answersOf(report.Routes))
    known = report;
}

CountLedger::Totals CountLedger::totals() const {
  Totals out;
  for (const auto &[key, report] : Reports)
    for (const RouteCounts &it : report.Routes) {
      RouteCounts &sum = out[it.Route];
      sum.Route = it.Route;
      sum.Former += it.Former;
      sum.Next += it.Next;
    }
  return out;
}

std::vector<RouteCounts> CountLedger::difference(const Totals &later,
                                                 const Totals &earlier) {
  std::vector<RouteCounts> out;
  for (const auto &[route, counts] : later) {
    out.push_back(counts);
    const auto before = earlier.find(route);
    if (before == earlier.end())
      continue;
    out.back().Former -= before->second.Former;
    out.back().Next -= before->second.Next;
  }
  return out;
}

void CountLedger::beginPhase() {
  PhaseStart = totals();
  Recent.clear();
}

void CountLedger::advance(core::TimePoint now) {
  if (!Recent.empty() && now - Recent.back().At < SnapshotInterval)
    return;
  Recent.push_back({now, totals()});
  while (Recent.size() > 1 && now - Recent[1].At >= RecentTime)
    Recent.pop_front();
}

std::vector<RouteCounts> CountLedger::phaseCounts() const {
  return difference(totals(), PhaseStart);
}

std::optional<Finding> CountLedger::findDefect() const {
  if (auto out = compareRoutes(phaseCounts()))
    return out;
  if (Recent.empty())
    return std::nullopt;
  return compareRoutes(difference(totals(), Recent.front().Counts));
}

} // namespace acaciaroad::rollouts
