/// \file
/// The fields of a node's settings.

#ifndef ACACIAROAD_SETTINGS_NODEFIELDS_H
#define ACACIAROAD_SETTINGS_NODEFIELDS_H

#include <span>

#include "Settings/Field.h"
#include "Settings/NodeSettings.h"

namespace acaciaroad::settings {

/// Fields of a node's settings, ordered by table.
std::span<const Field<NodeSettings>> nodeFields();

/// Fields of one element of `administration.tokens`.
std::span<const Field<AccessToken>> tokenFields();

} // namespace acaciaroad::settings

#endif
