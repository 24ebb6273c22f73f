/// \file
/// Log records by which operators change the configuration. Each names the
/// version of the item that it is based on, and readers accept it only if that
/// version is still current (optimistic concurrency control). So only one of
/// two concurrent changes succeeds.

#ifndef ACACIAROAD_CONFIGURATION_CONFIGURATIONRECORD_H
#define ACACIAROAD_CONFIGURATION_CONFIGURATIONRECORD_H

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace acaciaroad::configuration {

/// Where the routing key of a request is found.
enum class KeySource : std::uint8_t {
  /// The class is not sharded by key.
  None,
  /// The path segment after the class's prefix.
  PathSegment,
  /// A query parameter named by WorkClass::KeyName.
  QueryParameter,
  /// A header named by WorkClass::KeyName.
  Header,
};

/// Whether an order may be executed more than once.
enum class Execution : std::uint8_t { Idempotent, AtMostOnce };

/// A class of work: which requests belong to it, which service serves them, and
/// its service level objectives.
struct WorkClass {
  std::string Name;
  std::string PathPrefix;
  std::string Service;
  KeySource Key = KeySource::None;
  std::string KeyName;
  Execution ExecutionMode = Execution::Idempotent;
  std::chrono::milliseconds Deadline{1000};
  /// Target for the 99th percentile (99 in 100 requests).
  std::chrono::milliseconds LatencyTarget{100};
  /// Target fraction of served requests, in parts per million.
  std::uint32_t AvailabilityPpm = 999'000;
  std::uint64_t BodyLimitBytes = 1U << 20U;
  bool operator==(const WorkClass &) const = default;
};

/// A client account and its fleet-wide rate limit.
struct ClientAccount {
  std::string Name;
  /// Requests per second; 0 for no limit.
  double RatePerSecond = 0;
  /// Token bucket capacity in requests.
  double Burst = 0;
  bool operator==(const ClientAccount &) const = default;
};

/// Author and time of a change.
struct ChangeOrigin {
  /// Random id by which an operator finds the change after a lost response.
  std::uint64_t ChangeId = 0;
  std::string Operator;
  /// Milliseconds since the Unix epoch by the wall clock of the accepting node.
  std::int64_t UnixMilliseconds = 0;
  bool operator==(const ChangeOrigin &) const = default;
};

/// Creates or replaces a class of work. \p Basis is the current version of the
/// item; for an absent item any version since its removal (0 if it never
/// existed).
struct ClassSet {
  ChangeOrigin Origin;
  std::uint64_t Basis = 0;
  WorkClass Value;
  bool operator==(const ClassSet &) const = default;
};

struct ClassRemoved {
  ChangeOrigin Origin;
  std::uint64_t Basis = 0;
  std::string Name;
  bool operator==(const ClassRemoved &) const = default;
};

/// Creates or replaces a client account; \p Basis as in ClassSet.
struct AccountSet {
  ChangeOrigin Origin;
  std::uint64_t Basis = 0;
  ClientAccount Value;
  bool operator==(const AccountSet &) const = default;
};

struct AccountRemoved {
  ChangeOrigin Origin;
  std::uint64_t Basis = 0;
  std::string Name;
  bool operator==(const AccountRemoved &) const = default;
};

/// Grants a key. Clients send "ID.SECRET"; the log stores only the id, a salt
/// and the hash of salt and secret.
struct KeyGranted {
  ChangeOrigin Origin;
  /// As in ClassSet, so that a duplicate record can't restore a withdrawn key.
  std::uint64_t Basis = 0;
  std::string KeyId;
  std::string Account;
  /// 16 random bytes.
  std::string Salt;
  /// SHA-256 hash of salt and secret.
  std::string Hash;
  bool operator==(const KeyGranted &) const = default;
};

/// Revokes a key permanently.
struct KeyWithdrawn {
  ChangeOrigin Origin;
  std::string KeyId;
  bool operator==(const KeyWithdrawn &) const = default;
};

using ConfigurationRecord =
    std::variant<ClassSet, ClassRemoved, AccountSet, AccountRemoved, KeyGranted,
                 KeyWithdrawn>;

} // namespace acaciaroad::configuration

#endif
