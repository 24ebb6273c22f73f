#include "Settings/SidecarFields.h"

#include <array>

namespace acaciaroad::settings {

namespace {

using SidecarField = Field<SidecarSettings>;

/// Room for a request to reach its upstream, and for clocks that differ.
constexpr core::Duration KeyRequestRoom = std::chrono::milliseconds(900);

constexpr double BytesPerMb = 1U << 20U;

core::Endpoint endpointOf(std::string_view text) {
  return core::parseEndpoint(text).value_or(core::Endpoint{});
}

core::Duration durationOf(std::string_view text) {
  return parseDuration(text).value_or(core::Duration{});
}

constexpr auto SidecarFields = std::to_array<SidecarField>({
    textField<SidecarSettings>(
        "node", "name", TextKind::Name, std::nullopt,
        [](SidecarSettings &it, std::string_view s) { it.Node.Name = s; },
        "Name of the instance; the same at each start."),
    textField<SidecarSettings>(
        "node", "data_centre", TextKind::Name, std::nullopt,
        [](SidecarSettings &it, std::string_view s) { it.Node.DataCentre = s; },
        "Data centre that the instance runs in."),
    textField<SidecarSettings>(
        "node", "service", TextKind::Name, std::nullopt,
        [](SidecarSettings &it, std::string_view s) { it.Node.Service = s; },
        "Service of the upstream beside the node."),
    realField<SidecarSettings>(
        "node", "network_mbit", {0, 1'000'000}, 0,
        [](SidecarSettings &it, double x) { it.Node.NetworkMegabits = x; },
        "Rate of the instance's network in megabits per second; large answers "
        "are admitted up to it. 0 means no limit. A change needs a restart."),
    textField<SidecarSettings>(
        "callers", "listen", TextKind::Endpoint, std::nullopt,
        [](SidecarSettings &it, std::string_view s) {
          it.Callers.Listen = endpointOf(s);
        },
        "Where requests that begin on this instance are accepted."),
    textField<SidecarSettings>(
        "peers", "listen", TextKind::Endpoint, std::nullopt,
        [](SidecarSettings &it, std::string_view s) {
          it.Peers.Listen = endpointOf(s);
        },
        "Where other nodes' requests are accepted."),
    textField<SidecarSettings>(
        "control", "listen", TextKind::Endpoint, std::nullopt,
        [](SidecarSettings &it, std::string_view s) {
          it.Control.Listen = endpointOf(s);
        },
        "Where the upstream's heartbeats are accepted."),
    textField<SidecarSettings>(
        "gossip", "listen", TextKind::Endpoint, std::nullopt,
        [](SidecarSettings &it, std::string_view s) {
          it.Gossip.Listen = endpointOf(s);
        },
        "Where other nodes' datagrams are accepted; the port is the same on "
        "all nodes."),
    textField<SidecarSettings>(
        "credit", "listen", TextKind::Endpoint, std::nullopt,
        [](SidecarSettings &it, std::string_view s) {
          it.Credit.Listen = endpointOf(s);
        },
        "Where other nodes ask for shares of client accounts, by datagram; "
        "the port is the same on all nodes."),
    textField<SidecarSettings>(
        "relay", "listen", TextKind::Endpoint, std::nullopt,
        [](SidecarSettings &it, std::string_view s) {
          it.Relay.Listen = endpointOf(s);
        },
        "Where other nodes read what this one has read from the platform's "
        "logs; the port is the same on all nodes."),
    textField<SidecarSettings>(
        "health", "listen", TextKind::Endpoint, std::nullopt,
        [](SidecarSettings &it, std::string_view s) {
          it.Health.Listen = endpointOf(s);
        },
        "Where health checks of the node and requests for its metrics are "
        "accepted."),
    textField<SidecarSettings>(
        "health", "metrics_path", TextKind::Line, "/metrics",
        [](SidecarSettings &it, std::string_view s) {
          it.Health.MetricsPath = s;
        },
        "Path of the metrics; any other path is a health check."),
    textField<SidecarSettings>(
        "upstream", "address", TextKind::Endpoint, std::nullopt,
        [](SidecarSettings &it, std::string_view s) {
          it.Upstream.Address = endpointOf(s);
        },
        "The upstream beside the node."),
    textField<SidecarSettings>(
        "upstream", "heartbeat", TextKind::Duration, "1s",
        [](SidecarSettings &it, std::string_view s) {
          it.Upstream.Heartbeat = durationOf(s);
        },
        "Interval of the upstream's heartbeats."),
    textField<SidecarSettings>(
        "upstream", "longest_grant", TextKind::Duration, "10s",
        [](SidecarSettings &it, std::string_view s) {
          it.Upstream.LongestGrant = durationOf(s);
        },
        "Keys are granted to the upstream for at most this time."),
    textField<SidecarSettings>(
        "store", "address", TextKind::Endpoint, std::nullopt,
        [](SidecarSettings &it, std::string_view s) {
          it.Store.Address = endpointOf(s);
        },
        "The platform's store."),
    textField<SidecarSettings>(
        "limits", "withdrawn_key", TextKind::Duration, "",
        [](SidecarSettings &it, std::string_view s) {
          it.Limits.KeyFreshness = durationOf(s) - KeyRequestRoom;
        },
        "A withdrawn key of a client account is refused after this time, "
        "whatever the node can reach. Without it, keys are accepted however "
        "old the configuration is."),
    textField<SidecarSettings>(
        "limits", "configuration", TextKind::Duration, "2s",
        [](SidecarSettings &it, std::string_view s) {
          it.Limits.Configuration = durationOf(s);
        },
        "A configuration is in force on nodes that reach the store within "
        "this time; less than 1200ms counts as 1200ms. A change needs a "
        "restart."),
    textField<SidecarSettings>(
        "limits", "drain", TextKind::Duration, "5s",
        [](SidecarSettings &it, std::string_view s) {
          it.Limits.Drain = durationOf(s);
        },
        "Time from SIGTERM to the end of the process at the latest."),
    textField<SidecarSettings>(
        "limits", "account_window", TextKind::Duration, "",
        [](SidecarSettings &it, std::string_view s) {
          it.Limits.AccountWindow = durationOf(s);
        },
        "Time over which rate and burst of client accounts are measured; "
        "without it they are not limited. A change needs a restart."),
    realField<SidecarSettings>(
        "limits", "memory_mb", {64, 1'000'000}, 256,
        [](SidecarSettings &it, double x) {
          it.Limits.MemoryBytes = static_cast<std::uint64_t>(x * BytesPerMb);
        },
        "Memory that the process may take, in MB; a quarter of it holds the "
        "bodies of requests. A change needs a restart."),
    realField<SidecarSettings>(
        "limits", "retry_ratio", {0, 1}, 0.1,
        [](SidecarSettings &it, double x) { it.Limits.RetryRatio = x; },
        "Further attempts for each request, over the whole fleet."),
    realField<SidecarSettings>(
        "limits", "retry_allowance", {0, 100'000}, 10,
        [](SidecarSettings &it, double x) { it.Limits.RetryAllowance = x; },
        "Further attempts of the whole fleet beyond the ratio."),
    realField<SidecarSettings>(
        "rollout", "share", {0, 0.5}, 0,
        [](SidecarSettings &it, double x) { it.Rollout.Share = x; },
        "Share of a service's requests that a version may get while it is "
        "compared with the former one; 0 where orders to move a service to a "
        "version are not carried out. A change needs a restart."),
    realField<SidecarSettings>(
        "rollout", "slack", {0, 100'000}, 0,
        [](SidecarSettings &it, double x) { it.Rollout.Slack = x; },
        "Requests that the version may get beyond the share."),
    textField<SidecarSettings>(
        "rollout", "rollback", TextKind::Duration, "5s",
        [](SidecarSettings &it, std::string_view s) {
          it.Rollout.RollBack = durationOf(s);
        },
        "A version that has given bad answers gets no request later than "
        "this."),
    textField<SidecarSettings>(
        "logging", "level", TextKind::Level, "info",
        [](SidecarSettings &it, std::string_view s) {
          it.LogLevel =
              logging::levelFromName(s).value_or(logging::Level::Info);
        },
        "Lines below this level are not written."),
});

} // namespace

std::span<const SidecarField> sidecarFields() { return SidecarFields; }

} // namespace acaciaroad::settings
