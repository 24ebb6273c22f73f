/// \file
/// Results of an experiment as JSON.

#ifndef ACACIAROAD_LOAD_REPORTJSON_H
#define ACACIAROAD_LOAD_REPORTJSON_H

#include <span>
#include <string>

#include "Programs/Load/ActionThread.h"
#include "Programs/Load/Report.h"

namespace acaciaroad::load {

/// Returns one JSON object; latencies in milliseconds.
std::string renderJson(const Experiment &experiment, const Report &report,
                       std::span<const ActionResult> actions);

} // namespace acaciaroad::load

#endif
