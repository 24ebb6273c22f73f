#include "Holdings/LoadMove.h"

#include <algorithm>

namespace acaciaroad::holdings {

namespace {

/// Below it, requests seldom wait for a slot.
constexpr double BearableUtilization = 0.55;

/// Smaller differences come from chance; moving keys back and forth costs more
/// than it gains.
constexpr double LeastDifference = 0.2;

/// Part of the difference that one move evens out; others may move keys to the
/// same node.
constexpr double MoveShare = 0.8;

/// A range may carry this much more than was aimed at.
constexpr double MostOvershoot = 1.25;

/// A range that carries a smaller part of it is not worth the move.
constexpr double LeastPart = 0.15;

struct Window {
  KeyRange Keys;
  double Rate = 0;
};

/// Returns the window of whole buckets in \p range with the highest rate up to
/// \p most; of equal ones the shortest.
std::optional<Window> bestWindow(const KeyedLoad &load, const KeyRange &range,
                                 double most) {
  const Key n = load.BucketKeys;
  const Key first = (range.From + n - 1) / n;
  const Key end = (range.To + 1) / n;
  std::optional<Window> best;
  double sum = 0;
  Key left = first;
  for (Key right = first; right < end; ++right) {
    sum += load.Rates[right];
    while (sum > most && left <= right)
      sum -= load.Rates[left++];
    while (left < right && load.Rates[left] == 0)
      ++left;
    if (left <= right && sum > 0 && (!best || sum > best->Rate))
      best = Window{{left * n, (right + 1) * n - 1}, sum};
  }
  return best;
}

} // namespace

std::optional<LoadMove> planLoadMove(const KeyedLoad &load,
                                     std::span<const KeyRange> own,
                                     std::span<const LoadTaker> takers) {
  if (load.Node.Utilization < BearableUtilization || takers.empty())
    return std::nullopt;
  const auto taker = std::min_element(
      takers.begin(), takers.end(), [](const LoadTaker &a, const LoadTaker &b) {
        return a.Load.Utilization < b.Load.Utilization;
      });
  const double difference = load.Node.Utilization - taker->Load.Utilization;
  if (difference < LeastDifference)
    return std::nullopt;
  const double cost = load.Node.Cost + (taker->Load.Cost > 0 ? taker->Load.Cost
                                                             : load.Node.Cost);
  if (cost <= 0)
    return std::nullopt;
  const double wanted = difference / cost * MoveShare;
  std::optional<Window> best;
  for (const KeyRange &it : own) {
    const auto window = bestWindow(load, it, wanted * MostOvershoot);
    if (window && (!best || window->Rate > best->Rate))
      best = window;
  }
  if (!best || best->Rate < wanted * LeastPart)
    return std::nullopt;
  return LoadMove{best->Keys, taker->Node};
}

} // namespace acaciaroad::holdings
