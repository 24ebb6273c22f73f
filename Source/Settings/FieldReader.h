/// \file
/// Reads a TOML table by the table of its fields.

#ifndef ACACIAROAD_SETTINGS_FIELDREADER_H
#define ACACIAROAD_SETTINGS_FIELDREADER_H

#include <algorithm>
#include <cstddef>
#include <span>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <toml++/toml.h>

#include "Core/Error.h"
#include "Settings/Field.h"

namespace acaciaroad::settings {

/// Where an error is reported.
struct Place {
  std::string_view File;
  /// 0 where the file says nothing.
  std::size_t Line = 0;
};

Place placeOf(std::string_view file, const toml::node &node);
Place placeOf(std::string_view file, const toml::key &key);
Place placeOf(std::string_view file, const toml::parse_error &ec);

/// Returns an InvalidSettings error "file:line: what".
tl::unexpected<core::Error> failAt(const Place &place, std::string_view what);

/// Sets one text field from \p node, or to its default if that is null.
template <typename Target>
core::Result<void> readValue(const TextField<Target> &field,
                             std::string_view name, const Place &place,
                             const toml::node *node, Target &target) {
  if (node == nullptr && !field.Default)
    return failAt(place, fmt::format("{} is missing: {}", name,
                                     allowedRange(field.Kind)));
  if (field.Default && field.Default->empty() &&
      (node == nullptr || node->value_exact<std::string_view>() == ""))
    return {};
  const auto text =
      node == nullptr ? field.Default : node->value_exact<std::string_view>();
  if (!text || !isValid(field.Kind, *text))
    return failAt(place, fmt::format("{} must be a text: {}", name,
                                     allowedRange(field.Kind)));
  field.Set(target, *text);
  return {};
}

template <typename Target>
core::Result<void> readValue(const NumberField<Target> &field,
                             std::string_view name, const Place &place,
                             const toml::node *node, Target &target) {
  const auto number = node == nullptr ? std::optional(field.Default)
                                      : node->value_exact<std::int64_t>();
  if (!number || *number < field.Minimum || *number > field.Maximum)
    return failAt(place, fmt::format("{} must be a whole number from {} to {}",
                                     name, field.Minimum, field.Maximum));
  field.Set(target, *number);
  return {};
}

template <typename Target>
core::Result<void> readValue(const RealField<Target> &field,
                             std::string_view name, const Place &place,
                             const toml::node *node, Target &target) {
  const auto number =
      node == nullptr ? std::optional(field.Default) : node->value<double>();
  // The comparison is false for a value that is no number.
  if (!number || !(*number >= field.Minimum && *number <= field.Maximum))
    return failAt(place, fmt::format("{} must be a number from {} to {}", name,
                                     field.Minimum, field.Maximum));
  field.Set(target, *number);
  return {};
}

/// Refuses what neither \p fields nor \p arrays name.
template <typename Target>
core::Result<void> refuseUnknown(std::span<const Field<Target>> fields,
                                 std::string_view name, std::string_view file,
                                 const toml::table &table,
                                 std::span<const std::string_view> arrays) {
  for (const auto &[key, node] : table) {
    const std::string_view found = key.str();
    const bool isArray =
        std::find(arrays.begin(), arrays.end(), found) != arrays.end();
    const bool isField =
        std::any_of(fields.begin(), fields.end(), [&, found](const auto &it) {
          return it.Table == name && it.Name == found;
        });
    if (!isArray && !isField)
      return failAt(placeOf(file, key),
                    fmt::format("unknown field {}.{}", name, found));
  }
  return {};
}

/// Sets every field of table \p name in \p target, from \p table or to its
/// default. \p arrays are further members that the caller reads. Fails with
/// InvalidSettings.
template <typename Target>
core::Result<void> readFields(std::span<const Field<Target>> fields,
                              std::string_view name, const Place &place,
                              const toml::table &table, Target &target,
                              std::span<const std::string_view> arrays = {}) {
  if (auto done = refuseUnknown(fields, name, place.File, table, arrays); !done)
    return done;
  for (const Field<Target> &it : fields) {
    if (it.Table != name)
      continue;
    const toml::node *node = table.get(it.Name);
    const Place at = node == nullptr ? place : placeOf(place.File, *node);
    const std::string path = fmt::format("{}.{}", it.Table, it.Name);
    auto done = std::visit(
        [&](const auto &value) {
          return readValue(value, path, at, node, target);
        },
        it.Value);
    if (!done)
      return done;
  }
  return {};
}

/// Refuses tables that no field of \p fields stands in.
template <typename Target>
core::Result<void> refuseUnknownTables(std::span<const Field<Target>> fields,
                                       std::string_view file,
                                       const toml::table &root) {
  for (const auto &[key, node] : root) {
    const std::string_view name = key.str();
    const bool isNamed =
        std::any_of(fields.begin(), fields.end(),
                    [name](const auto &it) { return it.Table == name; });
    if (!isNamed || !node.is_table())
      return failAt(placeOf(file, key), fmt::format("unknown table {}", name));
  }
  return {};
}

/// Calls \p read(name, place, table) for each table of \p fields, with an empty
/// one where the file has none, up to the first failure.
template <typename Target, typename ReadTable>
core::Result<void> readTables(std::span<const Field<Target>> fields,
                              std::string_view file, const toml::table &root,
                              ReadTable read) {
  static const toml::table empty;
  if (auto done = refuseUnknownTables(fields, file, root); !done)
    return done;
  std::string_view last;
  for (const Field<Target> &it : fields) {
    if (it.Table == last)
      continue;
    last = it.Table;
    const toml::node *node = root.get(last);
    const toml::table &table = node == nullptr ? empty : *node->as_table();
    const Place place = node == nullptr ? Place{file} : placeOf(file, *node);
    if (core::Result<void> done = read(last, place, table); !done)
      return done;
  }
  return {};
}

/// Parses the file at \p path and reads it by \p readRoot(path, table).
template <typename ReadRoot>
auto readSettingsFile(std::string_view path, ReadRoot readRoot)
    -> decltype(readRoot(path, std::declval<const toml::table &>())) {
  try {
    return readRoot(path, toml::parse_file(path));
  } catch (const toml::parse_error &ec) {
    return failAt(placeOf(path, ec), ec.description());
  }
}

/// As readSettingsFile, for \p text; \p fileName only appears in errors.
template <typename ReadRoot>
auto readSettingsText(std::string_view text, std::string_view fileName,
                      ReadRoot readRoot)
    -> decltype(readRoot(fileName, std::declval<const toml::table &>())) {
  try {
    return readRoot(fileName, toml::parse(text, fileName));
  } catch (const toml::parse_error &ec) {
    return failAt(placeOf(fileName, ec), ec.description());
  }
}

} // namespace acaciaroad::settings

#endif
