#include "Settings/SettingsFile.h"

#include <algorithm>
#include <string>

#include <fmt/format.h>
#include <toml++/toml.h>

#include "Settings/FieldReader.h"
#include "Settings/NodeFields.h"

namespace acaciaroad::settings {

namespace {

constexpr std::string_view TokensName = "tokens";
constexpr std::string_view TokensTable = "administration";

core::Result<AccessToken> readToken(std::string_view file,
                                    const toml::node &node) {
  const Place place = placeOf(file, node);
  const toml::table *table = node.as_table();
  if (table == nullptr)
    return failAt(place, "administration.tokens must be an array of tables");
  AccessToken out;
  const std::string_view name = tokenFields().front().Table;
  if (auto done = readFields(tokenFields(), name, place, *table, out); !done)
    return tl::unexpected(done.error());
  return out;
}

core::Result<void> readTokens(std::string_view file, const toml::table &table,
                              NodeSettings &settings) {
  const toml::node *node = table.get(TokensName);
  if (node == nullptr)
    return {};
  const toml::array *array = node->as_array();
  if (array == nullptr)
    return failAt(placeOf(file, *node),
                  "administration.tokens must be an array of tables");
  for (const toml::node &it : *array) {
    auto token = readToken(file, it);
    if (!token)
      return tl::unexpected(token.error());
    settings.Administration.Tokens.push_back(std::move(*token));
  }
  return {};
}

core::Result<void> readTable(std::string_view name, std::string_view file,
                             const Place &place, const toml::table &table,
                             NodeSettings &settings) {
  static constexpr std::string_view Arrays[] = {TokensName};
  const bool hasTokens = name == TokensTable;
  const auto arrays = std::span(Arrays).first(hasTokens ? 1 : 0);
  if (auto done =
          readFields(nodeFields(), name, place, table, settings, arrays);
      !done)
    return done;
  return hasTokens ? readTokens(file, table, settings) : core::Result<void>();
}

/// Checks what concerns more than one field.
core::Result<void> checkTogether(std::string_view file,
                                 const NodeSettings &it) {
  const Place place{file};
  if (it.Callers.CertificateFile.empty() != it.Callers.PrivateKeyFile.empty())
    return failAt(place, "callers.certificate_file and "
                         "callers.private_key_file go together");
  if (it.Peers.CurvePublicKey.empty() != it.Peers.CurveSecretKey.empty())
    return failAt(place, "peers.curve_public_key and peers.curve_secret_key "
                         "go together");
  if (2 * it.Lease.Renew > it.Lease.Length)
    return failAt(place, "lease.renew_ms must be at most half of "
                         "lease.length_ms");
  return {};
}

core::Result<NodeSettings> readRoot(std::string_view file,
                                    const toml::table &root) {
  NodeSettings out;
  if (auto done = readTables(nodeFields(), file, root,
                             [&](std::string_view name, const Place &place,
                                 const toml::table &table) {
                               return readTable(name, file, place, table, out);
                             });
      !done)
    return tl::unexpected(done.error());
  if (auto done = checkTogether(file, out); !done)
    return tl::unexpected(done.error());
  if (out.Peers.Advertise.Host.empty())
    out.Peers.Advertise = out.Peers.Listen;
  return out;
}

} // namespace

core::Result<NodeSettings> loadNodeSettings(std::string_view path) {
  return readSettingsFile(path, readRoot);
}

core::Result<NodeSettings> parseNodeSettings(std::string_view text,
                                             std::string_view fileName) {
  return readSettingsText(text, fileName, readRoot);
}

} // namespace acaciaroad::settings
