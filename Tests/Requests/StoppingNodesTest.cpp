#include "Requests/StoppingNodes.h"

#include "Support/Table.h"

using namespace acaciaroad;
using requests::StoppingNodes;
using std::chrono::milliseconds;

namespace {

struct PauseRow {
  const char *Name;
  const char *Node;
  /// Time since node "a" refused.
  core::Duration Age;
  bool IsPaused;
};

const PauseRow PauseRows[] = {
    {"right after the refusal", "a", milliseconds(0), true},
    {"while it stops", "a", milliseconds(500), true},
    {"once it can have restarted", "a", milliseconds(601), false},
    {"another node", "b", milliseconds(0), false},
};

} // namespace

ACACIA_TABLE_TEST(StoppingNodes, AreNotAskedForAWhile, PauseRows) {
  const core::TimePoint start{milliseconds(1000)};
  StoppingNodes nodes;
  nodes.refused("a", start);
  const auto pause = nodes.remainingPause(row.Node, start + row.Age);
  cr_assert_eq(pause.count() > 0, row.IsPaused, "%s", row.Name);
}
