#include "Settings/SidecarSettings.h"

#include <toml++/toml.h>

#include "Settings/FieldReader.h"
#include "Settings/SidecarFields.h"

namespace acaciaroad::settings {

namespace {

core::Result<SidecarSettings> readRoot(std::string_view file,
                                       const toml::table &root) {
  static const toml::table empty;
  SidecarSettings out;
  if (auto done = refuseUnknownTables(sidecarFields(), file, root); !done)
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
  return readSettingsFile(path, readRoot);
}

core::Result<SidecarSettings> parseSidecarSettings(std::string_view text,
                                                   std::string_view fileName) {
  return readSettingsText(text, fileName, readRoot);
}

} // namespace acaciaroad::settings
