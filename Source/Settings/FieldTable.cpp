#include "Settings/FieldTable.h"

#include <algorithm>
#include <array>

namespace acaciaroad::settings {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxPathLength = 4096;
constexpr std::size_t Z85KeyLength = 40;
constexpr std::size_t Sha256Length = 64;
constexpr std::string_view NotSet;

using NodeField = Field<NodeSettings>;
using TokenField = Field<AccessToken>;

template <typename Target>
constexpr Field<Target>
text(std::string_view table, std::string_view name, TextKind kind,
     std::optional<std::string_view> missing,
     void (*set)(Target &, std::string_view), std::string_view description) {
  return {table, name, description, TextField<Target>{kind, missing, set}, {}};
}

struct Range {
  std::int64_t Minimum;
  std::int64_t Maximum;
};

constexpr NodeField number(std::string_view table, std::string_view name,
                           Range range, std::int64_t missing,
                           void (*set)(NodeSettings &, std::int64_t),
                           std::string_view description) {
  return {
      table,
      name,
      description,
      {},
      NumberField<NodeSettings>{range.Minimum, range.Maximum, missing, set}};
}

core::Endpoint endpointOf(std::string_view text) {
  return core::parseEndpoint(text).value_or(core::Endpoint{});
}

constexpr auto NodeFields = std::to_array<NodeField>({
    text<NodeSettings>(
        "node", "name", TextKind::Name, std::nullopt,
        [](NodeSettings &it, std::string_view s) { it.Node.Name = s; },
        "Name of the instance; the same at each start."),
    text<NodeSettings>(
        "node", "data_centre", TextKind::Name, std::nullopt,
        [](NodeSettings &it, std::string_view s) { it.Node.DataCentre = s; },
        "Data centre that the instance runs in."),
    text<NodeSettings>(
        "node", "rack", TextKind::Name, NotSet,
        [](NodeSettings &it, std::string_view s) { it.Node.Rack = s; },
        "Failure domain within the data centre; witnesses are spread over "
        "racks."),
    text<NodeSettings>(
        "callers", "listen", TextKind::Endpoint, std::nullopt,
        [](NodeSettings &it, std::string_view s) {
          it.Callers.Listen = endpointOf(s);
        },
        "Where callers' HTTP is accepted."),
    text<NodeSettings>(
        "callers", "certificate_file", TextKind::Path, NotSet,
        [](NodeSettings &it, std::string_view s) {
          it.Callers.CertificateFile = s;
        },
        "PEM file; together with private_key_file it turns TLS on."),
    text<NodeSettings>(
        "callers", "private_key_file", TextKind::Path, NotSet,
        [](NodeSettings &it, std::string_view s) {
          it.Callers.PrivateKeyFile = s;
        },
        "PEM file of the certificate's private key."),
    number(
        "callers", "threads", {1, 1024}, 32,
        [](NodeSettings &it, std::int64_t n) {
          it.Callers.Threads = static_cast<std::uint32_t>(n);
        },
        "Threads that read requests and write answers."),
    number(
        "callers", "max_connections", {1, 100'000}, 4096,
        [](NodeSettings &it, std::int64_t n) {
          it.Callers.MaxConnections = static_cast<std::uint32_t>(n);
        },
        "Open connections of callers; further ones are closed at once."),
    text<NodeSettings>(
        "peers", "listen", TextKind::Endpoint, std::nullopt,
        [](NodeSettings &it, std::string_view s) {
          it.Peers.Listen = endpointOf(s);
        },
        "Where other nodes' messages are accepted."),
    text<NodeSettings>(
        "peers", "advertise", TextKind::Endpoint, NotSet,
        [](NodeSettings &it, std::string_view s) {
          it.Peers.Advertise = endpointOf(s);
        },
        "Address that other nodes connect to; peers.listen if not set."),
    text<NodeSettings>(
        "peers", "curve_public_key", TextKind::Z85Key, NotSet,
        [](NodeSettings &it, std::string_view s) {
          it.Peers.CurvePublicKey = s;
        },
        "Public half of the fleet's key pair; together with curve_secret_key "
        "it encrypts and authenticates all messages between nodes."),
    text<NodeSettings>(
        "peers", "curve_secret_key", TextKind::Z85Key, NotSet,
        [](NodeSettings &it, std::string_view s) {
          it.Peers.CurveSecretKey = s;
        },
        "Secret half of the fleet's key pair."),
    text<NodeSettings>(
        "administration", "listen", TextKind::Endpoint, std::nullopt,
        [](NodeSettings &it, std::string_view s) {
          it.Administration.Listen = endpointOf(s);
        },
        "Where the administration API and the upstream's announcements are "
        "accepted."),
    text<NodeSettings>(
        "log", "address", TextKind::Endpoint, std::nullopt,
        [](NodeSettings &it, std::string_view s) {
          it.Log.Address = endpointOf(s);
        },
        "The platform's log service."),
    text<NodeSettings>(
        "log", "stream", TextKind::Name, "acaciaroad",
        [](NodeSettings &it, std::string_view s) { it.Log.Stream = s; },
        "Stream that the fleet's records are kept in."),
    number(
        "lease", "length_ms", {100, 60'000}, 600,
        [](NodeSettings &it, std::int64_t n) {
          it.Lease.Length = std::chrono::milliseconds(n);
        },
        "How long a witness's promise holds. The same on all nodes."),
    number(
        "lease", "renew_ms", {10, 30'000}, 200,
        [](NodeSettings &it, std::int64_t n) {
          it.Lease.Renew = std::chrono::milliseconds(n);
        },
        "Interval at which the lease is renewed; at most half of length_ms."),
    text<NodeSettings>(
        "logging", "level", TextKind::Level, "info",
        [](NodeSettings &it, std::string_view s) {
          it.LogLevel =
              logging::levelFromName(s).value_or(logging::Level::Info);
        },
        "Lines below this level are not written."),
    number(
        "traffic", "workers", {1, 1024}, 32,
        [](NodeSettings &it, std::int64_t n) {
          it.Traffic.Workers = static_cast<std::uint32_t>(n);
        },
        "Threads that run requests forwarded by other nodes."),
    number(
        "limits", "header_bytes", {1024, 65'536}, 16'384,
        [](NodeSettings &it, std::int64_t n) {
          it.Limits.HeaderBytes = static_cast<std::size_t>(n);
        },
        "Bytes of a request's header; a larger one is refused."),
    number(
        "limits", "buffer_bytes", {4096, 16'777'216}, 262'144,
        [](NodeSettings &it, std::int64_t n) {
          it.Limits.BufferBytes = static_cast<std::size_t>(n);
        },
        "Bytes of a body that are held in memory for one request; a request "
        "is retried only while all it has sent is still held."),
    number(
        "totals", "interval_s", {1, 3600}, 60,
        [](NodeSettings &it, std::int64_t n) {
          it.TotalsInterval = std::chrono::seconds(n);
        },
        "Interval at which the day's totals are recorded."),
});

constexpr auto TokenFields = std::to_array<TokenField>({
    text<AccessToken>(
        "administration.tokens", "name", TextKind::Name, std::nullopt,
        [](AccessToken &it, std::string_view s) { it.Name = s; },
        "Whom changes made with the token are attributed to."),
    text<AccessToken>(
        "administration.tokens", "role", TextKind::Role, "viewer",
        [](AccessToken &it, std::string_view s) {
          it.TokenRole = s == "operator" ? Role::Operator : Role::Viewer;
        },
        "Viewers read; operators change."),
    text<AccessToken>(
        "administration.tokens", "sha256", TextKind::Sha256, std::nullopt,
        [](AccessToken &it, std::string_view s) { it.Sha256 = s; },
        "Hash of the token; the token itself stands in no file."),
});

bool isNameCharacter(unsigned char c) {
  return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
}

bool isLowerHex(unsigned char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool isZ85Character(unsigned char c) {
  constexpr std::string_view Marks = ".-:+=^!/*?&<>()[]{}@%$#";
  return std::isalnum(c) != 0 ||
         Marks.find(static_cast<char>(c)) != std::string_view::npos;
}

bool consistsOf(std::string_view text, bool (*isAllowed)(unsigned char)) {
  return std::all_of(text.begin(), text.end(), isAllowed);
}

} // namespace

std::span<const NodeField> nodeFields() { return NodeFields; }

std::span<const TokenField> tokenFields() { return TokenFields; }

bool isValid(TextKind kind, std::string_view text) {
  switch (kind) {
  case TextKind::Name:
    return !text.empty() && text.size() <= MaxNameLength &&
           consistsOf(text, isNameCharacter);
  case TextKind::Endpoint:
    return core::parseEndpoint(text).has_value();
  case TextKind::Path:
    return !text.empty() && text.size() <= MaxPathLength;
  case TextKind::Z85Key:
    return text.size() == Z85KeyLength && consistsOf(text, isZ85Character);
  case TextKind::Sha256:
    return text.size() == Sha256Length && consistsOf(text, isLowerHex);
  case TextKind::Level:
    return logging::levelFromName(text).has_value();
  case TextKind::Role:
    return text == "viewer" || text == "operator";
  }
  return false;
}

std::string_view allowedRange(TextKind kind) {
  switch (kind) {
  case TextKind::Name:
    return "1 to 64 letters, digits, '.', '_' or '-'";
  case TextKind::Endpoint:
    return "ip:port or [ip]:port, port 0 to 65535";
  case TextKind::Path:
    return "1 to 4096 characters";
  case TextKind::Z85Key:
    return "40 characters of Z85";
  case TextKind::Sha256:
    return "64 lower-case hexadecimal digits";
  case TextKind::Level:
    return "debug, info, warning, error or off";
  case TextKind::Role:
    return "viewer or operator";
  }
  return {};
}

} // namespace acaciaroad::settings
