#include "Settings/SidecarSettings.h"

#include <toml++/toml.h>

#include "Settings/FieldReader.h"
#include "Settings/SidecarFields.h"

namespace acaciaroad::settings {

namespace {

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

core::Result<SidecarSettings> loadSidecarSettings(std::string_view path) {
  return readSettingsFile(path, readRoot);
}

core::Result<SidecarSettings> parseSidecarSettings(std::string_view text,
                                                   std::string_view fileName) {
  return readSettingsText(text, fileName, readRoot);
}

} // namespace acaciaroad::settings
