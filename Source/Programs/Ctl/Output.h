/// \file
/// Shows answers of the administration API.

#ifndef ACACIAROAD_PROGRAMS_CTL_OUTPUT_H
#define ACACIAROAD_PROGRAMS_CTL_OUTPUT_H

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace acaciaroad::ctl {

enum class OutputFormat { Table, Json, Csv };

/// Returns the format called \p name, or nothing.
std::optional<OutputFormat> outputFormat(std::string_view name);

/// Returns \p answer as text. An answer with a list becomes one line for each
/// element, any other one line for each member.
std::string render(const nlohmann::json &answer, OutputFormat format);

} // namespace acaciaroad::ctl

#endif
