/// \file
/// Reads a node's settings from TOML.

#ifndef ACACIAROAD_SETTINGS_SETTINGSFILE_H
#define ACACIAROAD_SETTINGS_SETTINGSFILE_H

#include <string_view>

#include "Core/Error.h"
#include "Settings/NodeSettings.h"

namespace acaciaroad::settings {

/// Reads the file at \p path. Fails with InvalidSettings; the detail names
/// file, line, field and what is allowed.
core::Result<NodeSettings> loadNodeSettings(std::string_view path);

/// As loadNodeSettings, for \p text; \p fileName only appears in errors.
core::Result<NodeSettings> parseNodeSettings(std::string_view text,
                                             std::string_view fileName);

} // namespace acaciaroad::settings

#endif
