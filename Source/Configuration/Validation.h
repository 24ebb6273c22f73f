/// \file
/// The rules that the fields of a configuration record must keep, whatever the
/// catalogue holds.

#ifndef ACACIAROAD_CONFIGURATION_VALIDATION_H
#define ACACIAROAD_CONFIGURATION_VALIDATION_H

#include "Configuration/ConfigurationRecord.h"
#include "Core/Error.h"

namespace acaciaroad::configuration {

/// Returns InvalidArgument with the name of the first field that is not valid.
core::Result<void> validateFields(const ConfigurationRecord &record);

/// Whether \p name has 1 to 64 of the characters a-z, 0-9, '.', '_' and '-'.
bool isValidName(std::string_view name);

} // namespace acaciaroad::configuration

#endif
