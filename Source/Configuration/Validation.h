/// \file
/// Validation of the fields of a configuration record, independent of the state
/// of the catalogue.

#ifndef ACACIAROAD_CONFIGURATION_VALIDATION_H
#define ACACIAROAD_CONFIGURATION_VALIDATION_H

#include "Configuration/ConfigurationRecord.h"
#include "Core/Error.h"

namespace acaciaroad::configuration {

/// Fails with InvalidArgument and the name of the first invalid field.
core::Result<void> validateFields(const ConfigurationRecord &record);

/// Returns whether \p name consists of 1 to 64 of the characters a-z, 0-9, '.',
/// '_' and '-'.
bool isValidName(std::string_view name);

} // namespace acaciaroad::configuration

#endif
