/// \file
/// A small fleet on a virtual clock: real agents and ledgers, a log and
/// upstreams as the platform has them, and faults drawn by a seed.

#ifndef ACACIAROAD_TESTS_HOLDINGS_FLEETMODEL_H
#define ACACIAROAD_TESTS_HOLDINGS_FLEETMODEL_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingAgent.h"
#include "Support/Random.h"

namespace acaciaroad::tests {

/// A rule that the model breaks, to show that the check finds it.
enum class BrokenRule : std::uint8_t {
  None,
  /// A lease counts from the answer to its renewal, and that comes late.
  LeaseFromAnswer,
  /// Another node's lease counts as lapsed before it is.
  EarlyLapse,
  /// Changes are appended whatever the end of the log is.
  Unconditional,
  /// Tokens do not rise.
  SameToken,
};

struct ModelOptions {
  std::uint64_t Seed = 1;
  int Nodes = 4;
  core::Duration Length = std::chrono::seconds(45);
  /// Without faults, nothing but the rules' own work happens.
  bool HasFaults = true;
  BrokenRule Broken = BrokenRule::None;
};

struct ModelResult {
  /// Empty if all rules were kept.
  std::string Violation;
  /// Part of the samples, in [0, 1], at which a key had a holder.
  double HeldFraction = 0;
  /// Records of holdings in the log.
  int Changes = 0;
};

/// Runs the model once.
ModelResult runFleetModel(const ModelOptions &options);

} // namespace acaciaroad::tests

#endif
