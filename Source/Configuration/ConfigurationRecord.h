/// \file
/// The records of the platform's log by which operators change configuration.
/// Each names the version of the item it builds on; a reader accepts it only if
/// that version is still current, so racing operators have one winner.

#ifndef ACACIAROAD_CONFIGURATION_CONFIGURATIONRECORD_H
#define ACACIAROAD_CONFIGURATION_CONFIGURATIONRECORD_H

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace acaciaroad::configuration {

/// Where the routing key of a request stands.
enum class KeySource : std::uint8_t {
  /// The class is not divided by key.
  None,
  /// The path segment after the class's prefix.
  PathSegment,
  /// A query parameter named by WorkClass::KeyName.
  QueryParameter,
  /// A header named by WorkClass::KeyName.
  Header,
};

/// How often an order may run.
enum class Execution : std::uint8_t { Idempotent, AtMostOnce };

/// A class of work: which requests it takes, where they go and what operators
/// ask of it.
struct WorkClass {
  std::string Name;
  std::string PathPrefix;
  std::string Service;
  KeySource Key = KeySource::None;
  std::string KeyName;
  Execution ExecutionMode = Execution::Idempotent;
  std::chrono::milliseconds Deadline{1000};
  /// Target for 99 in 100 requests.
  std::chrono::milliseconds LatencyTarget{100};
  /// Target share of served requests, in requests per million.
  std::uint32_t AvailabilityPpm = 999'000;
  std::uint64_t BodyLimitBytes = 1U << 20U;
  bool operator==(const WorkClass &) const = default;
};

/// A client account and its share over the whole fleet.
struct ClientAccount {
  std::string Name;
  /// Requests a second.
  double RatePerSecond = 0;
  /// Requests.
  double Burst = 0;
  bool operator==(const ClientAccount &) const = default;
};

/// Who made a change, and when.
struct ChangeOrigin {
  /// Random; lets the operator recognise the own record after a lost answer.
  std::uint64_t ChangeId = 0;
  std::string Operator;
  /// Milliseconds since the Unix epoch, on the accepting node's wall clock.
  std::int64_t UnixMilliseconds = 0;
  bool operator==(const ChangeOrigin &) const = default;
};

/// Creates or replaces a class of work. \p Basis is the version of the item;
/// for an absent item, any version from that of its removal on (0 if it never
/// was).
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

/// Grants a key. Callers present "ID.SECRET"; the log holds the id, a salt and
/// the hash of salt and secret.
struct KeyGranted {
  ChangeOrigin Origin;
  /// As in ClassSet: a record appended twice must not revive a withdrawn key.
  std::uint64_t Basis = 0;
  std::string KeyId;
  std::string Account;
  /// 16 random bytes.
  std::string Salt;
  /// SHA-256 over salt and secret.
  std::string Hash;
  bool operator==(const KeyGranted &) const = default;
};

/// Withdraws a key for good.
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
