/// \file
/// Counts of answers from all nodes, over a phase and over the last seconds.

#ifndef ACACIAROAD_ROLLOUTS_COUNTLEDGER_H
#define ACACIAROAD_ROLLOUTS_COUNTLEDGER_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Core/Clock.h"
#include "Rollouts/RolloutTypes.h"
#include "Rollouts/VersionComparison.h"

namespace acaciaroad::rollouts {

/// Sums the reports of nodes for one order. Reports are sums themselves, so a
/// lost or repeated one has no effect. Load pattern: a version that turns bad
/// late shows in the last seconds, one that is slightly bad in the whole phase;
/// windows don't reach into an earlier phase, whose share was another.
class CountLedger {
public:
  void receive(const CountReport &report);

  /// Starts both windows anew.
  void beginPhase();

  /// Moves the window of the last seconds on. To be called regularly.
  void advance(core::TimePoint now);

  /// Compares the versions over both windows.
  std::optional<Finding> findDefect() const;

  /// Returns the answers of this phase.
  std::vector<RouteCounts> phaseCounts() const;

private:
  using Totals = std::map<std::string, RouteCounts, std::less<>>;
  struct Snapshot {
    core::TimePoint At{};
    Totals Counts;
  };

  Totals totals() const;
  static std::vector<RouteCounts> difference(const Totals &later,
                                             const Totals &earlier);

  /// Newest report of each incarnation of a node.
  std::map<std::pair<std::string, std::uint64_t>, CountReport> Reports;
  Totals PhaseStart;
  std::deque<Snapshot> Recent;
};

} // namespace acaciaroad::rollouts

#endif
