/// \file
/// Random schedules of faults, moves and operators' acts, with fixed seeds.

#ifndef ACACIAROAD_SCENARIOS_RANDOMFAULTS_H
#define ACACIAROAD_SCENARIOS_RANDOMFAULTS_H

#include <cstdint>
#include <string>

#include "Ownership/LeaseRules.h"

namespace acaciaroad::scenarios {

struct RandomOutcome {
  /// The first broken invariant of safety, or empty.
  std::string Violation;
  /// A key that is not served in the end though it could be, or empty.
  std::string Unserved;
  std::uint64_t Served = 0;
  /// Instances that a log record retired.
  std::uint64_t Retired = 0;
};

/// Runs the schedule of \p seed with \p breaks: faults for some seconds, then
/// all is healed, and every key has to be served again.
RandomOutcome runRandomFaults(std::uint64_t seed,
                              ownership::ProtocolFaults breaks);

} // namespace acaciaroad::scenarios

#endif
