#include "Administration/OperatorTokens.h"

#include <algorithm>
#include <charconv>

#include "Configuration/ClientKey.h"
#include "Configuration/Validation.h"

namespace acaciaroad::administration {

using core::ErrorKind;
using core::fail;
using core::Result;

namespace {

constexpr std::size_t HashDigits = 2 * configuration::HashBytes;
constexpr std::size_t MaxTokenBytes = 256;

std::string_view viewOf(const std::array<char, 32> &hash) {
  return {hash.data(), hash.size()};
}

bool readHash(std::string_view digits, std::array<char, 32> &out) {
  if (digits.size() != HashDigits)
    return false;
  for (std::size_t n = 0; n < out.size(); ++n) {
    const char *begin = digits.data() + 2 * n;
    unsigned byte = 0;
    const auto [it, ec] = std::from_chars(begin, begin + 2, byte, 16);
    if (ec != std::errc() || it != begin + 2)
      return false;
    out[n] = static_cast<char>(byte);
  }
  return true;
}

bool readRole(std::string_view name, Role &out) {
  for (Role it : {Role::Viewer, Role::Operator}) {
    if (toString(it) != name)
      continue;
    out = it;
    return true;
  }
  return false;
}

} // namespace

std::string_view toString(Role role) {
  return role == Role::Operator ? "operator" : "viewer";
}

Result<OperatorTokens>
OperatorTokens::create(std::span<const TokenSetting> settings) {
  OperatorTokens out;
  for (const TokenSetting &it : settings) {
    Token token;
    token.Identity.Name = it.Name;
    const bool isValid = configuration::isValidName(it.Name) &&
                         readRole(it.Role, token.Identity.Has) &&
                         readHash(it.Sha256, token.Hash);
    const bool isTwice = std::any_of(
        out.Tokens.begin(), out.Tokens.end(),
        [&](const Token &other) { return other.Identity.Name == it.Name; });
    if (!isValid || isTwice)
      return fail(ErrorKind::InvalidSettings, "operator token " + it.Name);
    out.Tokens.push_back(std::move(token));
  }
  return out;
}

Result<OperatorIdentity>
OperatorTokens::authenticate(std::string_view bearer) const {
  if (bearer.empty())
    return fail(ErrorKind::KeyMissing);
  const auto hash =
      configuration::hashSecret("", bearer.substr(0, MaxTokenBytes));
  const Token *found = nullptr;
  for (const Token &it : Tokens) {
    if (configuration::equalInConstantTime(viewOf(hash), viewOf(it.Hash)))
      found = &it;
  }
  if (!found || bearer.size() > MaxTokenBytes)
    return fail(ErrorKind::KeyUnknown);
  return found->Identity;
}

} // namespace acaciaroad::administration
