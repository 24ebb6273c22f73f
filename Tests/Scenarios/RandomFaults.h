/// \file
/// Random schedules of faults, slice moves and operator actions, reproducible
/// by seed.

#ifndef ACACIAROAD_SCENARIOS_RANDOMFAULTS_H
#define ACACIAROAD_SCENARIOS_RANDOMFAULTS_H

#include <cstdint>
#include <string>

#include "Ownership/LeaseRules.h"

namespace acaciaroad::scenarios {

struct RandomOutcome {
  /// The first violation of a safety invariant, or empty.
  std::string Violation;
  /// Describes a key that could be served at the end but is not, or empty.
  std::string Unserved;
  std::uint64_t Served = 0;
  /// Number of instances retired by a log record.
  std::uint64_t Retired = 0;
};

/// Runs the schedule of \p seed with the rules in \p breaks disabled. Injects
/// faults for some seconds, then removes them all, after which every key must
/// be served again.
RandomOutcome runRandomFaults(std::uint64_t seed,
                              ownership::ProtocolFaults breaks);

} // namespace acaciaroad::scenarios

#endif
