#include "Feed/RelayTiming.h"

#include <algorithm>

#include "Support/Random.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::feed;
using std::chrono::milliseconds;

namespace {

struct BoundRow {
  const char *Name;
  core::Duration Bound;
  /// The bound that is kept.
  core::Duration Kept;
};

const BoundRow BoundRows[] = {
    {"configuration of the users' deployments", milliseconds(2000),
     milliseconds(2000)},
    {"longer", milliseconds(4100), milliseconds(4100)},
    {"shortest", milliseconds(1200), milliseconds(1200)},
    {"too short", milliseconds(300), milliseconds(1200)},
};

/// Time of a call between two nodes, or to the log.
constexpr core::Duration CallTime = milliseconds(30);

/// Time of a call to the log while it is slow.
constexpr core::Duration SlowCallTime = milliseconds(400);

/// Simulates a node whose relays are cut off from the log at a random moment
/// and are either silent from then on or answer with what they have. Returns
/// the greatest age that the node's knowledge of the log reaches.
core::Duration simulateCut(const RelayTiming &timing, tests::Random &rng) {
  core::Duration now{};
  // What the relay's data shows of the log, while it reaches the log and after.
  const core::Duration cutAt = milliseconds(10'000 + rng.below(3000));
  const core::Duration poll = timing.Direct.Wait + CallTime;
  const auto relayKnows = [&](core::Duration at) {
    return std::min(at, cutAt) / poll * poll - CallTime;
  };
  const bool isSilent = rng.chance(0.5);
  core::Duration known{};
  core::Duration worst{};
  while (now < cutAt + milliseconds(4000)) {
    const bool isAnswered = now < cutAt || !isSilent;
    now += isAnswered ? CallTime : MaxRelaysPerRead * RelayTimeout;
    if (isAnswered && now - relayKnows(now) <= timing.Relayed.MaxAge) {
      known = relayKnows(now);
    } else {
      known = now;
      now += CallTime;
      worst = std::max(worst, now - known);
    }
    now +=
        std::min(timing.Relayed.Pause, timing.Relayed.MaxAge - (now - known));
    worst = std::max(worst, now - known);
  }
  return worst;
}

} // namespace

// Nodes that read through a relay must know a configuration in time, also if
// the relay is cut off from the log and goes on answering.
ACACIA_TABLE_TEST(RelayTiming, KeepsItsBound, BoundRows) {
  const RelayTiming timing = RelayTiming::forBound(row.Bound);
  tests::Random rng(1);
  for (int n = 0; n < 2000; ++n) {
    const core::Duration age = simulateCut(timing, rng);
    // Until the next read has ended.
    const core::Duration last =
        age + MaxRelaysPerRead * RelayTimeout + SlowCallTime;
    cr_assert(last <= row.Kept, "%s: %ld ms", row.Name,
              static_cast<long>(last / milliseconds(1)));
  }
}

// A relay that reaches the log must not be passed over for its age.
ACACIA_TABLE_TEST(RelayTiming, AcceptsDataBetweenPolls, BoundRows) {
  const RelayTiming timing = RelayTiming::forBound(row.Bound);
  cr_assert(timing.Direct.Wait + milliseconds(100) <= timing.Relayed.MaxAge,
            "%s", row.Name);
}
