#include "Settings/SidecarSettings.h"

#include <algorithm>

#include <fmt/format.h>
#include <toml++/toml.h>

#include "Settings/FieldReader.h"
#include "Settings/SidecarFields.h"

namespace acaciaroad::settings {

namespace {

core::Result<void> refuseUnknownTables(std::string_view file,
                                       const toml::table &root) {
  const auto fields = sidecarFields();
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

core::Result<SidecarSettings> readRoot(std::string_view file,
                                       const toml::table &root) {
  static const toml::table empty;
  SidecarSettings out;
  if (auto done = refuseUnknownTables(file, root); !done)
    return tl::unexpected(done.error());
  std::string_view last;
  for (const Field<SidecarSettings> &it : sidecarFields()) {
    if (it.Table == last)
      continue;
    last = it.Table;
    const toml::node *node = root.get(last);
    const toml::table &table = node == nullptr ? empty : *node->as_table();
    const Place place = node == nullptr ? Place{file} : placeOf(file, *node);
    if (auto done = readFields(sidecarFields(), last, place, table, out); !done)
      return tl::unexpected(done.error());
  }
  return out;
}

} // namespace

core::Result<SidecarSettings> loadSidecarSettings(std::string_view path) {
  try {
    return readRoot(path, toml::parse_file(path));
  } catch (const toml::parse_error &ec) {
    return failAt(placeOf(path, ec), ec.description());
  }
}

core::Result<SidecarSettings> parseSidecarSettings(std::string_view text,
                                                   std::string_view fileName) {
  try {
    return readRoot(fileName, toml::parse(text, fileName));
  } catch (const toml::parse_error &ec) {
    return failAt(placeOf(fileName, ec), ec.description());
  }
}

} // namespace acaciaroad::settings
