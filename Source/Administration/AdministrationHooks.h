/// \file
/// What the administration API needs of the node.

#ifndef ACACIAROAD_ADMINISTRATION_ADMINISTRATIONHOOKS_H
#define ACACIAROAD_ADMINISTRATION_ADMINISTRATIONHOOKS_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Administration/DayTotals.h"
#include "Administration/FleetStatus.h"
#include "Codec/LogEntry.h"
#include "Configuration/Catalogue.h"
#include "Core/Error.h"
#include "Upstream/UpstreamAnnouncement.h"

namespace acaciaroad::administration {

/// One change that an operator asked for, for the log lines of the node.
struct ChangeEvent {
  std::string Operator;
  std::string Method;
  std::string Path;
  /// "accepted", or the name of the error kind.
  std::string Outcome;
  core::Offset Offset = 0;
};

/// All are called from the threads of the administration server, several at
/// once, and all must be set.
struct AdministrationHooks {
  /// Appends an entry and waits until this node has folded it. Returns its
  /// offset if the fold accepted it; Conflict or InvalidArgument if not;
  /// LogUnavailable if it surely was not written; LogOutcomeUnknown otherwise.
  std::function<core::Result<core::Offset>(const codec::LogEntry &)> Submit;
  std::function<std::shared_ptr<const configuration::Catalogue>()> View;
  std::function<FleetStatus()> Status;
  /// NotFound for an unknown service.
  std::function<core::Result<OwnerReport>(std::string_view service,
                                          std::string_view key)>
      FindOwner;
  /// Waits at most the given time until the record at the offset is in force on
  /// all live instances, and reports how far it has come.
  std::function<InForceReport(core::Offset, std::chrono::milliseconds)> InForce;
  /// Reads the stream of totals.
  std::function<core::Result<DayTotals>(const DayRange &)> Totals;
  /// InvalidArgument for an unknown level.
  std::function<core::Result<void>(std::string_view level)> SetLogLevel;
  /// A heartbeat of the upstream beside the node.
  std::function<core::Result<void>(const upstream::UpstreamAnnouncement &)>
      Announce;
  /// The upstream stops; it receives no new orders.
  std::function<core::Result<void>()> UpstreamLeave;
  /// Metrics in the Prometheus text format.
  std::function<std::string()> Metrics;
  std::function<void(const ChangeEvent &)> OnChange;
  /// Wall clock, in milliseconds since the Unix epoch.
  std::function<std::int64_t()> UnixMilliseconds;
  configuration::RandomFunction Random;
};

} // namespace acaciaroad::administration

#endif
