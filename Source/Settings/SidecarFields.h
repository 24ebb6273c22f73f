/// \file
/// The table of a sidecar's settings.

#ifndef ACACIAROAD_SETTINGS_SIDECARFIELDS_H
#define ACACIAROAD_SETTINGS_SIDECARFIELDS_H

#include <span>

#include "Settings/Field.h"
#include "Settings/SidecarSettings.h"

namespace acaciaroad::settings {

/// Fields of one table stand together.
std::span<const Field<SidecarSettings>> sidecarFields();

} // namespace acaciaroad::settings

#endif
