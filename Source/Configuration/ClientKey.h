/// \file
/// The keys that callers present, as the catalogue holds them.

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

/// A granted key.
struct ClientKey {
  std::string Account;
  /// Version in which the account was created; a later account of the same
  /// name does not inherit the key.
  std::uint64_t AccountCreated = 0;
  SaltArray Salt{};
  HashArray Hash{};
  bool operator==(const ClientKey &) const = default;
};

/// Returns SHA-256 over \p salt and \p secret.
HashArray hashSecret(std::string_view salt, std::string_view secret);

/// Compares in a time that depends on the lengths only.
bool equalInConstantTime(std::string_view a, std::string_view b);

/// Fills a buffer with unpredictable bytes; false if there are none.
using RandomFunction = std::function<bool(std::span<std::byte>)>;

/// The random bytes of the cryptographic library.
bool systemRandom(std::span<std::byte> out);

/// A new key: what the log receives, and what the caller is told once.
struct KeyGrant {
  KeyGranted Record;
  /// "ID.SECRET"; kept nowhere.
  std::string Bearer;

  /// Draws id, secret and salt. Fails with Internal without random bytes.
  static core::Result<KeyGrant> create(ChangeOrigin origin,
                                       std::string_view account,
                                       std::uint64_t basis,
                                       const RandomFunction &random);
};

} // namespace acaciaroad::configuration

#endif
