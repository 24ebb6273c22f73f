/// \file
/// Simulation of a small fleet on a virtual clock. Uses the real agents and
/// ledgers, models the platform's log and upstreams, and injects random faults
/// by a seed.

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

/// Rule that the model breaks on purpose, to show that its checks detect it.
enum class BrokenRule : std::uint8_t {
  None,
  /// A lease runs from a late answer to its renewal, not from its sending.
  LeaseFromAnswer,
  /// Nodes treat the lease of another node as expired before it is.
  EarlyLapse,
  /// Changes are appended without the condition on the end of the log.
  Unconditional,
  /// All assignments have the same fencing token.
  SameToken,
  /// Nodes go on as if the log had not entered another era.
  IgnoreEra,
  /// Keys are assigned in a new era before its inventory is whole.
  AssignAtOnce,
  /// Holdings of earlier eras count in the present one.
  TrustFormerHoldings,
  /// Nodes claim keys that they withhold.
  ClaimWithheld,
  /// Nodes claim keys although their lease has ended.
  ClaimAfterLease,
  /// A record without the claim extends the lease in a new era.
  RenewWithoutClaim,
  /// Tokens are drawn from offsets alone.
  TokenWithoutEra,
};

struct ModelOptions {
  std::uint64_t Seed = 1;
  int Nodes = 4;
  core::Duration Length = std::chrono::seconds(45);
  /// Whether to inject faults.
  bool HasFaults = true;
  /// Whether the log is restored from older copies at times; with faults, also
  /// several times in a few seconds.
  bool HasRestorations = false;
  BrokenRule Broken = BrokenRule::None;
};

struct ModelResult {
  /// Description of the broken rule; empty if there is none.
  std::string Violation;
  /// Fraction of the samples, in [0, 1], in which a random key had a holder.
  double HeldFraction = 0;
  /// Number of changes of holdings that were appended to the log.
  int Changes = 0;
  /// Number of times that the log was restored.
  int Restorations = 0;
};

/// Runs the model until its end or the first broken rule.
ModelResult runFleetModel(const ModelOptions &options);

} // namespace acaciaroad::tests

#endif
