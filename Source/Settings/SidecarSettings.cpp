#include "Settings/SidecarSettings.h"

#include <algorithm>
#include <cstdint>

#include <fmt/format.h>
#include <toml++/toml.h>

#include "Core/ParseNumber.h"
#include "Settings/FieldReader.h"
#include "Settings/SidecarFields.h"

namespace acaciaroad::settings {

namespace {

/// Sets \p field of \p table to a number, if \p text is one, else to a text.
void setField(toml::table &table, std::string_view field,
              std::string_view text) {
  if (const auto whole = core::parseNumber<std::int64_t>(text))
    table.insert_or_assign(field, *whole);
  else if (const auto real = core::parseNumber<double>(text))
    table.insert_or_assign(field, *real);
  else
    table.insert_or_assign(field, text);
}

/// Applies the overrides of loadSidecarSettings to \p root.
core::Result<void> applyOverrides(toml::table &root,
                                  std::string_view overrides) {
  while (!overrides.empty()) {
    const auto comma = std::min(overrides.find(','), overrides.size());
    const std::string_view entry = overrides.substr(0, comma);
    overrides.remove_prefix(std::min(comma + 1, overrides.size()));
    const auto dot = entry.find('.');
    const auto equals = entry.find('=');
    if (dot == std::string_view::npos || equals == std::string_view::npos ||
        dot > equals)
      return core::fail(
          core::ErrorKind::InvalidSettings,
          fmt::format("override {}: expected TABLE.FIELD=VALUE", entry));
    const std::string_view value = entry.substr(equals + 1);
    if (value.empty())
      continue;
    const std::string_view name = entry.substr(0, dot);
    root.insert(name, toml::table{});
    if (toml::table *table = root.get_as<toml::table>(name))
      setField(*table, entry.substr(dot + 1, equals - dot - 1), value);
  }
  return {};
}

core::Result<SidecarSettings> readRoot(std::string_view file,
                                       const toml::table &root) {
  SidecarSettings out;
  if (auto done = readTables(sidecarFields(), file, root,
                             [&](std::string_view name, const Place &place,
                                 const toml::table &table) {
                               return readFields(sidecarFields(), name, place,
                                                 table, out);
                             });
      !done)
    return tl::unexpected(done.error());
  return out;
}

/// Returns `readRoot` behind the application of \p overrides.
auto overriding(std::string_view overrides) {
  return [overrides](std::string_view file, toml::table root) {
    if (auto done = applyOverrides(root, overrides); !done)
      return core::Result<SidecarSettings>(tl::unexpected(done.error()));
    return readRoot(file, root);
  };
}

} // namespace

std::vector<std::string> describeAbsentLimits(const SidecarLimits &limits) {
  std::vector<std::string> out;
  if (!limits.KeyFreshness)
    out.emplace_back("limits.withdrawn_key is not set: keys of client accounts "
                     "are accepted however old the configuration is");
  if (!limits.AccountWindow)
    out.emplace_back("limits.account_window is not set: rates of client "
                     "accounts are not limited");
  return out;
}

core::Result<SidecarSettings> loadSidecarSettings(std::string_view path,
                                                  std::string_view overrides) {
  return readSettingsFile(path, overriding(overrides));
}

core::Result<SidecarSettings> parseSidecarSettings(std::string_view text,
                                                   std::string_view fileName,
                                                   std::string_view overrides) {
  return readSettingsText(text, fileName, overriding(overrides));
}

} // namespace acaciaroad::settings
