#include "Scenarios/Scenario.h"

#include <fstream>
#include <sstream>

#include "Support/Table.h"

using namespace acaciaroad::scenarios;

namespace {

struct ScenarioRow {
  /// File name without the extension, in the directory of this file.
  const char *Name;
};

const ScenarioRow ScenarioRows[] = {
    {"cold-start"},
    {"cut-between-data-centres"},
    {"cut-off-from-all"},
    {"cut-off-from-log"},
    {"cut-one-way"},
    {"data-centre-out-and-in"},
    {"graceful-leave"},
    {"hot-key"},
    {"kill-during-log-outage"},
    {"kill"},
    {"log-outage"},
    {"log-slow"},
    {"one-node"},
    {"pause-and-return"},
    {"restart"},
    {"takeover-of-a-takeover"},
    {"three-at-once"},
    {"two-nodes"},
    {"upstream-without-checks"},
};

} // namespace

ACACIA_TABLE_TEST(ScenarioTest, holds, ScenarioRows) {
  const std::string path =
      std::string(ACACIA_SCENARIOS) + "/" + row.Name + ".scenario";
  std::ifstream file(path);
  cr_assert(file.good(), "cannot open scenario file %s", path.c_str());
  std::stringstream text;
  text << file.rdbuf();
  const std::string error = runScenario(text.str());
  cr_assert(error.empty(), "%s: %s", row.Name, error.c_str());
}
