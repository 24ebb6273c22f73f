/// \file
/// Who may use the administration API.

#ifndef ACACIAROAD_ADMINISTRATION_OPERATORTOKENS_H
#define ACACIAROAD_ADMINISTRATION_OPERATORTOKENS_H

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Error.h"

namespace acaciaroad::administration {

/// What a token allows. An operator may do everything that a viewer may.
enum class Role : std::uint8_t { Viewer, Operator };

/// Returns "viewer" or "operator".
std::string_view toString(Role role);

/// A token as the settings hold it.
struct TokenSetting {
  /// Name of the operator, for the history of changes.
  std::string Name;
  /// "viewer" or "operator".
  std::string Role;
  /// SHA-256 of the token in 64 hexadecimal digits.
  std::string Sha256;
};

/// Who makes a request.
struct OperatorIdentity {
  std::string Name;
  Role Has = Role::Viewer;
};

/// The tokens of the settings.
class OperatorTokens {
public:
  /// InvalidSettings for a name, role or hash that is not valid, or a name
  /// given twice.
  static core::Result<OperatorTokens>
  create(std::span<const TokenSetting> settings);

  /// Returns whose token \p bearer is, or KeyMissing or KeyUnknown. Compares
  /// with every token in constant time.
  core::Result<OperatorIdentity> authenticate(std::string_view bearer) const;

private:
  struct Token {
    OperatorIdentity Identity;
    std::array<char, 32> Hash{};
  };

  std::vector<Token> Tokens;
};

} // namespace acaciaroad::administration

#endif
