#include "Holdings/LoadMove.h"

#include <algorithm>
#include <optional>

#include "Holdings/KeyPlacement.h"

namespace acaciaroad::holdings {

namespace {

/// A node is overloaded from this utilization on. Below it, requests seldom
/// wait for a slot.
constexpr double OverloadUtilization = 0.7;

/// Candidates are added until the utilization after the moves is at most this.
constexpr double TargetUtilization = 0.5;

/// Maximum number of ranges that a node moves at once. Each range has no holder
/// for about one heartbeat interval. Keys that become hot together may bring
/// many times the load that one node can take.
constexpr std::size_t MaxMoveTargets = 32;

/// Minimum difference in utilization for a move. Smaller differences are noise,
/// and moving keys back and forth costs more than it gains.
constexpr double MinUtilizationGap = 0.2;

/// Fraction of the difference that a move evens out, because other nodes may
/// move keys to the same target.
constexpr double MoveFraction = 0.8;

/// Maximum load of a moved range, relative to the intended load.
constexpr double MaxOvershoot = 1.25;

/// Minimum load of a moved range, relative to the intended load; less isn't
/// worth a move.
constexpr double MinMoveFraction = 0.15;

/// Maximum utilization of a target after it received a bucket that exceeds its
/// share, relative to that of the node before the move.
constexpr double MaxRelativeLoad = 0.5;

/// Candidate range for a move and its request rate.
struct Window {
  KeyRange Keys;
  double Rate = 0;
};

/// Returns the window of whole buckets in \p range with the highest rate that
/// doesn't exceed \p maxRate, without idle buckets at its ends; nullopt if
/// there is none.
std::optional<Window> bestWindow(const KeyedLoad &load, const KeyRange &range,
                                 double maxRate) {
  const Key n = load.BucketKeys;
  const Key first = (range.From + n - 1) / n;
  const Key end = (range.To + 1) / n;
  std::optional<Window> best;
  double sum = 0;
  Key left = first;
  for (Key right = first; right < end; ++right) {
    sum += load.Rates[right];
    while (sum > maxRate && left <= right)
      sum -= load.Rates[left++];
    while (left < right && load.Rates[left] == 0)
      ++left;
    if (left <= right && sum > 0 && (!best || sum > best->Rate))
      best = Window{{left * n, (right + 1) * n - 1}, sum};
  }
  return best;
}

/// Returns the whole bucket in \p ranges with the lowest rate above 0; nullopt
/// if there is none.
std::optional<Window> lightestBucket(const KeyedLoad &load,
                                     std::span<const KeyRange> ranges) {
  const Key n = load.BucketKeys;
  std::optional<Window> out;
  for (const KeyRange &range : ranges)
    for (Key it = (range.From + n - 1) / n; it < (range.To + 1) / n; ++it)
      if (load.Rates[it] > 0 && (!out || load.Rates[it] < out->Rate))
        out = Window{{it * n, (it + 1) * n - 1}, load.Rates[it]};
  return out;
}

/// Load that one target should receive.
struct Share {
  std::string Node;
  /// Utilization before the move.
  double Utilization = 0;
  /// Requests a second.
  double Rate = 0;
  /// Utilization per request a second at the target.
  double Cost = 0;
};

/// Returns the load to move so that \p own and the least loaded candidates
/// reach the same utilization, times MoveFraction. Adds candidates until that
/// utilization is low enough.
std::vector<Share> computeShares(const NodeLoad &own,
                                 std::span<const MoveCandidate> candidates) {
  if (own.Cost <= 0)
    return {};
  std::vector<MoveCandidate> sorted(candidates.begin(), candidates.end());
  std::sort(sorted.begin(), sorted.end(),
            [](const MoveCandidate &a, const MoveCandidate &b) {
              return a.Load.Utilization < b.Load.Utilization;
            });
  // At utilization `level`, a node serves level / cost requests a second.
  double rate = own.Utilization / own.Cost;
  double capacity = 1 / own.Cost;
  double level = own.Utilization;
  std::size_t n = 0;
  for (MoveCandidate &it : sorted) {
    const bool isUseful =
        own.Utilization - it.Load.Utilization >= MinUtilizationGap &&
        it.Load.Utilization < level;
    if (!isUseful || n == MaxMoveTargets || level <= TargetUtilization)
      break;
    if (it.Load.Cost <= 0)
      it.Load.Cost = own.Cost;
    rate += it.Load.Utilization / it.Load.Cost;
    capacity += 1 / it.Load.Cost;
    level = rate / capacity;
    ++n;
  }
  std::vector<Share> out;
  for (const MoveCandidate &it : std::span(sorted).first(n))
    out.push_back({it.Node, it.Load.Utilization,
                   (level - it.Load.Utilization) / it.Load.Cost * MoveFraction,
                   it.Load.Cost});
  return out;
}

} // namespace

bool isOverloaded(const NodeLoad &load) {
  return load.Utilization >= OverloadUtilization;
}

std::vector<LoadMove> planLoadMoves(const KeyedLoad &load,
                                    std::span<const KeyRange> own,
                                    std::span<const MoveCandidate> candidates) {
  if (!isOverloaded(load.Node))
    return {};
  std::vector<KeyRange> left(own.begin(), own.end());
  std::vector<LoadMove> out;
  double utilization = load.Node.Utilization;
  for (const Share &it : computeShares(load.Node, candidates)) {
    std::optional<Window> best;
    for (const KeyRange &range : left) {
      const auto window = bestWindow(load, range, it.Rate * MaxOvershoot);
      if (window && (!best || window->Rate > best->Rate))
        best = window;
    }
    // Hot keys that are spread over many targets may each exceed a share. Such
    // a bucket still moves if the target ends up with far less load than this
    // node.
    if (!best) {
      best = lightestBucket(load, left);
      if (best &&
          it.Utilization + best->Rate * it.Cost > utilization * MaxRelativeLoad)
        best.reset();
    }
    if (!best || best->Rate < it.Rate * MinMoveFraction)
      continue;
    utilization -= best->Rate * load.Node.Cost;
    out.push_back({best->Keys, it.Node, best->Rate * it.Cost});
    std::vector<KeyRange> rest;
    for (const KeyRange &range : left)
      for (const KeyRange &piece : subtract(range, {{best->Keys}}))
        rest.push_back(piece);
    left = std::move(rest);
  }
  return out;
}

} // namespace acaciaroad::holdings
