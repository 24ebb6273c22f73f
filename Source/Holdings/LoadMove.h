/// \file
/// Load balancing by moving keys from overloaded nodes.

#ifndef ACACIAROAD_HOLDINGS_LOADMOVE_H
#define ACACIAROAD_HOLDINGS_LOADMOVE_H

#include <span>
#include <string>
#include <vector>

#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// Load of the upstream of one node.
struct NodeLoad {
  /// Arriving work divided by the capacity of the slots. Above 1, requests have
  /// to be refused.
  double Utilization = 0;
  /// Utilization per request a second.
  double Cost = 0;
};

/// Load of the own upstream and its distribution over the keys.
struct KeyedLoad {
  NodeLoad Node;
  /// Requests a second for each bucket of BucketKeys consecutive keys.
  std::vector<double> Rates;
  Key BucketKeys = 1;
};

/// Another node that could receive keys.
struct MoveCandidate {
  std::string Node;
  NodeLoad Load;
};

/// Range of keys to be moved to another node.
struct LoadMove {
  KeyRange Keys;
  std::string Target;
  /// Utilization that the keys add to the target.
  double AddedUtilization = 0;
};

/// Returns whether a node has enough load to move keys away.
bool isOverloaded(const NodeLoad &load);

/// Returns moves of ranges out of \p own, the ranges that the node holds, which
/// even out the load of the node and its least loaded candidates. They use as
/// few candidates as needed, with one range for each. Returns nothing if the
/// node isn't overloaded, the difference in load is small, or no range fits.
std::vector<LoadMove> planLoadMoves(const KeyedLoad &load,
                                    std::span<const KeyRange> own,
                                    std::span<const MoveCandidate> candidates);

} // namespace acaciaroad::holdings

#endif
