/// \file
/// Interpreter for the scenario language: one statement per line, most prefixed
/// with the time of execution in seconds. docs/SCENARIOS.md lists the
/// statements.

#ifndef ACACIAROAD_SCENARIOS_SCENARIO_H
#define ACACIAROAD_SCENARIOS_SCENARIO_H

#include <string>

namespace acaciaroad::scenarios {

/// Runs the scenario in \p text. Returns the first error with its line number,
/// or an empty string on success.
std::string runScenario(const std::string &text);

} // namespace acaciaroad::scenarios

#endif
