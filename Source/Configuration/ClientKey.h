/// \file
/// API keys of client accounts, as the catalogue stores them.

#ifndef ACACIAROAD_CONFIGURATION_CLIENTKEY_H
#define ACACIAROAD_CONFIGURATION_CLIENTKEY_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "Configuration/ConfigurationRecord.h"
#include "Core/Error.h"

namespace acaciaroad::configuration {

inline constexpr std::size_t SaltBytes = 16;
inline constexpr std::size_t HashBytes = 32;

using SaltArray = std::array<char, SaltBytes>;
using HashArray = std::array<char, HashBytes>;

/// A granted key without its secret.
struct ClientKey {
  std::string Account;
  /// Version in which the account was created, so that a later account of the
  /// same name doesn't inherit the key.
  std::uint64_t AccountCreated = 0;
  SaltArray Salt{};
  HashArray Hash{};
  bool operator==(const ClientKey &) const = default;
};

/// Returns the SHA-256 hash of \p salt followed by \p secret.
HashArray hashSecret(std::string_view salt, std::string_view secret);

/// Compares in time that depends only on the lengths, against timing attacks.
bool equalInConstantTime(std::string_view a, std::string_view b);

/// Fills a buffer with cryptographically secure random bytes. Returns false on
/// failure.
using RandomFunction = std::function<bool(std::span<std::byte>)>;

/// The random number generator of OpenSSL.
bool systemRandom(std::span<std::byte> out);

/// A new key: the record for the log and the bearer string for the client.
struct KeyGrant {
  KeyGranted Record;
  /// "ID.SECRET". Shown once and never stored.
  std::string Bearer;

  /// Generates id, secret and salt. Fails with Internal if \p random fails.
  static core::Result<KeyGrant> create(ChangeOrigin origin,
                                       std::string_view account,
                                       std::uint64_t basis,
                                       const RandomFunction &random);
};

} // namespace acaciaroad::configuration

#endif
