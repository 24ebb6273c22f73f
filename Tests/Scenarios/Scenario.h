/// \file
/// The scenario language: one statement a line, most with the time at which it
/// takes place. docs/SCENARIOS.md lists the statements.

#ifndef ACACIAROAD_SCENARIOS_SCENARIO_H
#define ACACIAROAD_SCENARIOS_SCENARIO_H

#include <string>

namespace acaciaroad::scenarios {

/// Runs the scenario in \p text. Returns what went wrong, with the number of
/// the line, or an empty string.
std::string runScenario(const std::string &text);

} // namespace acaciaroad::scenarios

#endif
