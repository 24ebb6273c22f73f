/// \file
/// Which keys an overloaded node gives to another one.

#ifndef ACACIAROAD_HOLDINGS_LOADMOVE_H
#define ACACIAROAD_HOLDINGS_LOADMOVE_H

#include <span>
#include <string>
#include <vector>

#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// Load of one node's upstream.
struct NodeLoad {
  /// Work that arrives over the work that its slots can do; above 1, requests
  /// have to be refused.
  double Utilization = 0;
  /// What one request a second adds to the utilization.
  double Cost = 0;
};

/// The load of the own upstream and how it spreads over the keys.
struct KeyedLoad {
  NodeLoad Node;
  /// Requests a second of each bucket of BucketKeys keys.
  std::vector<double> Rates;
  Key BucketKeys = 1;
};

/// Another node that could take keys.
struct MoveCandidate {
  std::string Node;
  NodeLoad Load;
};

struct LoadMove {
  KeyRange Keys;
  std::string Target;
  /// What the keys add to the target's utilization.
  double AddedUtilization = 0;
};

/// Whether a node is to give keys away.
bool isOverloaded(const NodeLoad &load);

/// Returns ranges out of \p own, the ranges that the node holds, that bring the
/// node and the least loaded candidates closer together, one range for each of
/// as few candidates as are needed; nothing while the load is bearable, the
/// difference small, or no range fits.
std::vector<LoadMove> planLoadMoves(const KeyedLoad &load,
                                    std::span<const KeyRange> own,
                                    std::span<const MoveCandidate> candidates);

} // namespace acaciaroad::holdings

#endif
