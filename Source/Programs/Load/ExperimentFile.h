/// \file
/// Reads an experiment from TOML.

#ifndef ACACIAROAD_LOAD_EXPERIMENTFILE_H
#define ACACIAROAD_LOAD_EXPERIMENTFILE_H

#include <span>
#include <string>
#include <string_view>

#include "Core/Error.h"
#include "Programs/Load/Experiment.h"

namespace acaciaroad::load {

/// Stands for "${Name}" in the file, so that one file serves any deployment.
struct Definition {
  std::string Name;
  std::string Value;
};

/// Parses "name=value". Fails with InvalidArgument.
core::Result<Definition> parseDefinition(std::string_view text);

/// Replaces the definitions in \p text. Fails with InvalidSettings if one is
/// used that isn't given.
core::Result<std::string> expand(std::string_view text,
                                 std::span<const Definition> definitions);

/// Parses an expanded file. Fails with InvalidSettings.
core::Result<Experiment> parseExperiment(std::string_view text,
                                         std::string_view fileName);

} // namespace acaciaroad::load

#endif
