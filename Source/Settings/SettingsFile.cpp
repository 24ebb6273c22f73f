#include "Settings/SettingsFile.h"

#include <algorithm>
#include <string>

#include <fmt/format.h>
#include <toml++/toml.h>

#include "Settings/FieldTable.h"

namespace acaciaroad::settings {

namespace {

constexpr std::string_view TokensName = "tokens";
constexpr std::string_view TokensTable = "administration";

/// Where an error is reported.
struct Place {
  std::string_view File;
  /// 0 where the file says nothing.
  std::size_t Line = 0;
};

tl::unexpected<core::Error> failAt(const Place &place, std::string_view what) {
  std::string where(place.File);
  if (place.Line != 0)
    where += fmt::format(":{}", place.Line);
  return core::fail(core::ErrorKind::InvalidSettings,
                    fmt::format("{}: {}", where, what));
}

Place placeOf(std::string_view file, const toml::node &node) {
  return {file, static_cast<std::size_t>(node.source().begin.line)};
}

template <typename Target> std::string nameOf(const Field<Target> &field) {
  return fmt::format("{}.{}", field.Table, field.Name);
}

template <typename Target>
core::Result<void> setText(const Field<Target> &field, const Place &place,
                           const toml::node &node, Target &target) {
  const auto text = node.value_exact<std::string_view>();
  if (!text || !isValid(field.Text->Kind, *text))
    return failAt(place, fmt::format("{} must be a text: {}", nameOf(field),
                                     allowedRange(field.Text->Kind)));
  field.Text->Set(target, *text);
  return {};
}

template <typename Target>
core::Result<void> setNumber(const Field<Target> &field, const Place &place,
                             const toml::node &node, Target &target) {
  const auto number = node.value_exact<std::int64_t>();
  const auto &range = *field.Number;
  if (!number || *number < range.Minimum || *number > range.Maximum)
    return failAt(place,
                  fmt::format("{} must be a whole number from {} to {}",
                              nameOf(field), range.Minimum, range.Maximum));
  range.Set(target, *number);
  return {};
}

template <typename Target>
core::Result<void> setDefault(const Field<Target> &field, const Place &place,
                              Target &target) {
  if (field.Number) {
    field.Number->Set(target, field.Number->Default);
    return {};
  }
  if (!field.Text->Default)
    return failAt(place, fmt::format("{} is missing: {}", nameOf(field),
                                     allowedRange(field.Text->Kind)));
  if (!field.Text->Default->empty())
    field.Text->Set(target, *field.Text->Default);
  return {};
}

/// Sets each field of \p name from \p table, or to its default.
template <typename Target>
core::Result<void> readFields(std::span<const Field<Target>> fields,
                              std::string_view name, const Place &place,
                              const toml::table &table, Target &target) {
  for (const Field<Target> &it : fields) {
    if (it.Table != name)
      continue;
    const toml::node *node = table.get(it.Name);
    core::Result<void> done;
    if (node == nullptr)
      done = setDefault(it, place, target);
    else if (it.Text)
      done = setText(it, placeOf(place.File, *node), *node, target);
    else
      done = setNumber(it, placeOf(place.File, *node), *node, target);
    if (!done)
      return done;
  }
  return {};
}

template <typename Target>
bool isKnown(std::span<const Field<Target>> fields, std::string_view table,
             std::string_view name) {
  return std::any_of(fields.begin(), fields.end(), [&](const auto &it) {
    return it.Table == table && it.Name == name;
  });
}

template <typename Target>
core::Result<void> refuseUnknown(std::span<const Field<Target>> fields,
                                 std::string_view name, std::string_view file,
                                 const toml::table &table) {
  for (const auto &[key, node] : table) {
    const bool isTokens = name == TokensTable && key.str() == TokensName;
    if (!isTokens && !isKnown(fields, name, key.str()))
      return failAt({file, static_cast<std::size_t>(key.source().begin.line)},
                    fmt::format("unknown field {}.{}", name, key.str()));
  }
  return {};
}

core::Result<AccessToken> readToken(std::string_view file,
                                    const toml::node &node) {
  const Place place = placeOf(file, node);
  const toml::table *table = node.as_table();
  if (table == nullptr)
    return failAt(place, "administration.tokens must be an array of tables");
  AccessToken out;
  const std::string_view name = tokenFields().front().Table;
  if (auto done = refuseUnknown(tokenFields(), name, file, *table); !done)
    return tl::unexpected(done.error());
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

core::Result<void> refuseUnknownTables(std::string_view file,
                                       const toml::table &root) {
  for (const auto &[key, node] : root) {
    const std::string_view name = key.str();
    const auto fields = nodeFields();
    const bool isNamed =
        std::any_of(fields.begin(), fields.end(),
                    [name](const auto &it) { return it.Table == name; });
    if (!isNamed || !node.is_table())
      return failAt({file, static_cast<std::size_t>(key.source().begin.line)},
                    fmt::format("unknown table {}", name));
  }
  return {};
}

core::Result<void> readTable(std::string_view name, std::string_view file,
                             const toml::table &root, NodeSettings &settings) {
  static const toml::table empty;
  const toml::node *node = root.get(name);
  const toml::table &table = node == nullptr ? empty : *node->as_table();
  const Place place = node == nullptr ? Place{file} : placeOf(file, *node);
  if (auto done = refuseUnknown(nodeFields(), name, file, table); !done)
    return done;
  if (auto done = readFields(nodeFields(), name, place, table, settings); !done)
    return done;
  return name == TokensTable ? readTokens(file, table, settings)
                             : core::Result<void>();
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
  if (auto done = refuseUnknownTables(file, root); !done)
    return tl::unexpected(done.error());
  std::string_view last;
  for (const Field<NodeSettings> &it : nodeFields()) {
    if (it.Table == last)
      continue;
    last = it.Table;
    if (auto done = readTable(last, file, root, out); !done)
      return tl::unexpected(done.error());
  }
  if (auto done = checkTogether(file, out); !done)
    return tl::unexpected(done.error());
  if (out.Peers.Advertise.Host.empty())
    out.Peers.Advertise = out.Peers.Listen;
  return out;
}

/// Returns the line that the TOML library's error \p ec speaks of.
Place placeOf(std::string_view file, const toml::parse_error &ec) {
  return {file, static_cast<std::size_t>(ec.source().begin.line)};
}

} // namespace

core::Result<NodeSettings> loadNodeSettings(std::string_view path) {
  try {
    return readRoot(path, toml::parse_file(path));
  } catch (const toml::parse_error &ec) {
    return failAt(placeOf(path, ec), ec.description());
  }
}

core::Result<NodeSettings> parseNodeSettings(std::string_view text,
                                             std::string_view fileName) {
  try {
    return readRoot(fileName, toml::parse(text, fileName));
  } catch (const toml::parse_error &ec) {
    return failAt(placeOf(fileName, ec), ec.description());
  }
}

} // namespace acaciaroad::settings
