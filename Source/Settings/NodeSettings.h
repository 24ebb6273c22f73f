/// \file
/// What a node's operator writes into its settings file.

#ifndef ACACIAROAD_SETTINGS_NODESETTINGS_H
#define ACACIAROAD_SETTINGS_NODESETTINGS_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Core/Endpoint.h"
#include "Logging/Level.h"

namespace acaciaroad::settings {

struct IdentitySettings {
  std::string Name;
  std::string DataCentre;
  std::string Rack;
};

struct CallerSettings {
  core::Endpoint Listen;
  /// PEM files; both empty serve plain HTTP.
  std::string CertificateFile;
  std::string PrivateKeyFile;
  std::uint32_t Threads = 0;
  std::uint32_t MaxConnections = 0;
};

struct PeerSettings {
  core::Endpoint Listen;
  /// Equal to Listen unless the settings say otherwise.
  core::Endpoint Advertise;
  /// Z85; both empty talk to peers without encryption.
  std::string CurvePublicKey;
  std::string CurveSecretKey;
};

/// What the holder of a token may do.
enum class Role : std::uint8_t { Viewer, Operator };

struct AccessToken {
  std::string Name;
  Role TokenRole = Role::Viewer;
  /// Lower-case hexadecimal SHA-256 of the token.
  std::string Sha256;
};

struct AdministrationSettings {
  core::Endpoint Listen;
  std::vector<AccessToken> Tokens;
};

struct LogSettings {
  core::Endpoint Address;
  std::string Stream;
};

struct LeaseSettings {
  std::chrono::milliseconds Length{};
  std::chrono::milliseconds Renew{};
};

struct TrafficSettings {
  std::uint32_t Workers = 0;
};

struct LimitSettings {
  std::size_t HeaderBytes = 0;
  std::size_t BufferBytes = 0;
};

/// All settings of a node, checked.
struct NodeSettings {
  IdentitySettings Node;
  CallerSettings Callers;
  PeerSettings Peers;
  AdministrationSettings Administration;
  LogSettings Log;
  LeaseSettings Lease;
  logging::Level LogLevel = logging::Level::Info;
  TrafficSettings Traffic;
  LimitSettings Limits;
  /// Between two records of totals.
  std::chrono::seconds TotalsInterval{};
};

} // namespace acaciaroad::settings

#endif
