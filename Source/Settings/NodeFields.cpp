#include "Settings/NodeFields.h"

#include <array>

namespace acaciaroad::settings {

namespace {

constexpr std::string_view NotSet;

using NodeField = Field<NodeSettings>;
using TokenField = Field<AccessToken>;

core::Endpoint endpointOf(std::string_view text) {
  return core::parseEndpoint(text).value_or(core::Endpoint{});
}

constexpr auto NodeFields = std::to_array<NodeField>({
    textField<NodeSettings>(
        "node", "name", TextKind::Name, std::nullopt,
        [](NodeSettings &it, std::string_view s) { it.Node.Name = s; },
        "Name of the instance; the same at each start."),
    textField<NodeSettings>(
        "node", "data_centre", TextKind::Name, std::nullopt,
        [](NodeSettings &it, std::string_view s) { it.Node.DataCentre = s; },
        "Data centre that the instance runs in."),
    textField<NodeSettings>(
        "node", "rack", TextKind::Name, NotSet,
        [](NodeSettings &it, std::string_view s) { it.Node.Rack = s; },
        "Failure domain within the data centre; witnesses are spread over "
        "racks."),
    textField<NodeSettings>(
        "callers", "listen", TextKind::Endpoint, std::nullopt,
        [](NodeSettings &it, std::string_view s) {
          it.Callers.Listen = endpointOf(s);
        },
        "Where callers' HTTP is accepted."),
    textField<NodeSettings>(
        "callers", "certificate_file", TextKind::Line, NotSet,
        [](NodeSettings &it, std::string_view s) {
          it.Callers.CertificateFile = s;
        },
        "PEM file; together with private_key_file it turns TLS on."),
    textField<NodeSettings>(
        "callers", "private_key_file", TextKind::Line, NotSet,
        [](NodeSettings &it, std::string_view s) {
          it.Callers.PrivateKeyFile = s;
        },
        "PEM file of the certificate's private key."),
    numberField<NodeSettings>(
        "callers", "threads", {1, 1024}, 32,
        [](NodeSettings &it, std::int64_t n) {
          it.Callers.Threads = static_cast<std::uint32_t>(n);
        },
        "Threads that read requests and write answers."),
    numberField<NodeSettings>(
        "callers", "max_connections", {1, 100'000}, 4096,
        [](NodeSettings &it, std::int64_t n) {
          it.Callers.MaxConnections = static_cast<std::uint32_t>(n);
        },
        "Open connections of callers; further ones are closed at once."),
    textField<NodeSettings>(
        "peers", "listen", TextKind::Endpoint, std::nullopt,
        [](NodeSettings &it, std::string_view s) {
          it.Peers.Listen = endpointOf(s);
        },
        "Where other nodes' messages are accepted."),
    textField<NodeSettings>(
        "peers", "advertise", TextKind::Endpoint, NotSet,
        [](NodeSettings &it, std::string_view s) {
          it.Peers.Advertise = endpointOf(s);
        },
        "Address that other nodes connect to; peers.listen if not set."),
    textField<NodeSettings>(
        "peers", "curve_public_key", TextKind::Z85Key, NotSet,
        [](NodeSettings &it, std::string_view s) {
          it.Peers.CurvePublicKey = s;
        },
        "Public half of the fleet's key pair; together with curve_secret_key "
        "it encrypts and authenticates all messages between nodes."),
    textField<NodeSettings>(
        "peers", "curve_secret_key", TextKind::Z85Key, NotSet,
        [](NodeSettings &it, std::string_view s) {
          it.Peers.CurveSecretKey = s;
        },
        "Secret half of the fleet's key pair."),
    textField<NodeSettings>(
        "administration", "listen", TextKind::Endpoint, std::nullopt,
        [](NodeSettings &it, std::string_view s) {
          it.Administration.Listen = endpointOf(s);
        },
        "Where the administration API and the upstream's announcements are "
        "accepted."),
    textField<NodeSettings>(
        "log", "address", TextKind::Endpoint, std::nullopt,
        [](NodeSettings &it, std::string_view s) {
          it.Log.Address = endpointOf(s);
        },
        "The platform's log service."),
    textField<NodeSettings>(
        "log", "stream", TextKind::Name, "acaciaroad",
        [](NodeSettings &it, std::string_view s) { it.Log.Stream = s; },
        "Stream that the fleet's records are kept in."),
    numberField<NodeSettings>(
        "lease", "length_ms", {100, 60'000}, 600,
        [](NodeSettings &it, std::int64_t n) {
          it.Lease.Length = std::chrono::milliseconds(n);
        },
        "How long a witness's promise holds. The same on all nodes."),
    numberField<NodeSettings>(
        "lease", "renew_ms", {10, 30'000}, 200,
        [](NodeSettings &it, std::int64_t n) {
          it.Lease.Renew = std::chrono::milliseconds(n);
        },
        "Interval at which the lease is renewed; at most half of length_ms."),
    textField<NodeSettings>(
        "logging", "level", TextKind::Level, "info",
        [](NodeSettings &it, std::string_view s) {
          it.LogLevel =
              logging::levelFromName(s).value_or(logging::Level::Info);
        },
        "Lines below this level are not written."),
    numberField<NodeSettings>(
        "traffic", "workers", {1, 1024}, 32,
        [](NodeSettings &it, std::int64_t n) {
          it.Traffic.Workers = static_cast<std::uint32_t>(n);
        },
        "Threads that run requests forwarded by other nodes."),
    numberField<NodeSettings>(
        "limits", "header_bytes", {1024, 65'536}, 16'384,
        [](NodeSettings &it, std::int64_t n) {
          it.Limits.HeaderBytes = static_cast<std::size_t>(n);
        },
        "Bytes of a request's header; a larger one is refused."),
    numberField<NodeSettings>(
        "limits", "buffer_bytes", {4096, 16'777'216}, 262'144,
        [](NodeSettings &it, std::int64_t n) {
          it.Limits.BufferBytes = static_cast<std::size_t>(n);
        },
        "Bytes of a body that are held in memory for one request; a request "
        "is retried only while all it has sent is still held."),
    numberField<NodeSettings>(
        "totals", "interval_s", {1, 3600}, 60,
        [](NodeSettings &it, std::int64_t n) {
          it.TotalsInterval = std::chrono::seconds(n);
        },
        "Interval at which the day's totals are recorded."),
});

constexpr auto TokenFields = std::to_array<TokenField>({
    textField<AccessToken>(
        "administration.tokens", "name", TextKind::Name, std::nullopt,
        [](AccessToken &it, std::string_view s) { it.Name = s; },
        "Whom changes made with the token are attributed to."),
    textField<AccessToken>(
        "administration.tokens", "role", TextKind::Role, "viewer",
        [](AccessToken &it, std::string_view s) {
          it.TokenRole = s == "operator" ? Role::Operator : Role::Viewer;
        },
        "Viewers read; operators change."),
    textField<AccessToken>(
        "administration.tokens", "sha256", TextKind::Sha256, std::nullopt,
        [](AccessToken &it, std::string_view s) { it.Sha256 = s; },
        "Hash of the token; the token itself stands in no file."),
});

} // namespace

std::span<const NodeField> nodeFields() { return NodeFields; }

std::span<const TokenField> tokenFields() { return TokenFields; }

} // namespace acaciaroad::settings
