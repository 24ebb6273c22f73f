/// \file
/// What the settings file of a sidecar says.

#ifndef ACACIAROAD_SETTINGS_SIDECARSETTINGS_H
#define ACACIAROAD_SETTINGS_SIDECARSETTINGS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Logging/Level.h"

namespace acaciaroad::settings {

struct SidecarIdentity {
  std::string Name;
  std::string DataCentre;
  /// Service of the upstream beside the node.
  std::string Service;
  /// Rate of the instance's network in megabits per second; 0 if unlimited.
  double NetworkMegabits = 0;
};

/// An address that the node listens on.
struct ListenSettings {
  core::Endpoint Listen;
};

struct HealthSettings {
  core::Endpoint Listen;
  std::string MetricsPath;
};

struct UpstreamSettings {
  core::Endpoint Address;
  core::Duration Heartbeat{};
  core::Duration LongestGrant{};
};

struct StoreSettings {
  core::Endpoint Address;
};

struct SidecarLimits {
  /// Absent where keys of client accounts may be accepted however old the
  /// configuration is.
  std::optional<core::Duration> KeyFreshness;
  core::Duration Drain{};
  /// Absent where client accounts have no rates.
  std::optional<core::Duration> AccountWindow;
  double RetryRatio = 0;
  double RetryAllowance = 0;
  /// A configuration is in force within this time after it was accepted.
  core::Duration Configuration{};
  /// Memory that the process may take.
  std::uint64_t MemoryBytes = std::uint64_t{256} << 20U;
  bool operator==(const SidecarLimits &) const = default;
};

/// Bounds of roll-outs by version.
struct RolloutSettings {
  /// Share of a service's requests for a version before it is taken. 0 where
  /// roll-outs are not carried out.
  double Share = 0;
  /// Requests beyond the share.
  double Slack = 0;
  /// Time from bad answers to the last request to the version.
  core::Duration RollBack{};
};

/// All settings of a sidecar, checked.
struct SidecarSettings {
  SidecarIdentity Node;
  ListenSettings Callers;
  ListenSettings Peers;
  ListenSettings Control;
  ListenSettings Gossip;
  ListenSettings Credit;
  ListenSettings Relay;
  HealthSettings Health;
  UpstreamSettings Upstream;
  StoreSettings Store;
  SidecarLimits Limits;
  RolloutSettings Rollout;
  logging::Level LogLevel = logging::Level::Info;
};

/// Returns what a node with these limits doesn't do because a limit is absent,
/// one text each.
std::vector<std::string> describeAbsentLimits(const SidecarLimits &limits);

/// Reads the file at \p path. \p overrides are fields that go before those of
/// the file: "TABLE.FIELD=VALUE", separated by commas; one without a value is
/// ignored. Fails with InvalidSettings; the detail names file, line, field and
/// what is allowed.
core::Result<SidecarSettings>
loadSidecarSettings(std::string_view path, std::string_view overrides = {});

/// As loadSidecarSettings, for \p text; \p fileName only appears in errors.
core::Result<SidecarSettings>
parseSidecarSettings(std::string_view text, std::string_view fileName,
                     std::string_view overrides = {});

} // namespace acaciaroad::settings

#endif
