/// \file
/// The reference page of the settings.

#ifndef ACACIAROAD_SETTINGS_SETTINGSREFERENCE_H
#define ACACIAROAD_SETTINGS_SETTINGSREFERENCE_H

#include <string>

namespace acaciaroad::settings {

/// Returns docs/SETTINGS.md as Markdown.
std::string renderReference();

} // namespace acaciaroad::settings

#endif
