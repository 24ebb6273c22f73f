/// \file
/// The reference page of the settings.

#ifndef ACACIAROAD_SETTINGS_SETTINGSREFERENCE_H
#define ACACIAROAD_SETTINGS_SETTINGSREFERENCE_H

#include <string>

namespace acaciaroad::settings {

/// Returns docs/SETTINGS.md as Markdown.
std::string renderReference();

/// As renderReference, for acacia-sidecar.
std::string renderSidecarReference();

} // namespace acaciaroad::settings

#endif
