/// \file
/// Latency over time as an SVG picture.

#ifndef ACACIAROAD_LOAD_LATENCYPLOT_H
#define ACACIAROAD_LOAD_LATENCYPLOT_H

#include <span>
#include <string>

#include "Programs/Load/ActionThread.h"
#include "Programs/Load/Report.h"

namespace acaciaroad::load {

/// Returns an SVG document: the 50th, 99th and 99.9th percentile of each
/// second on a logarithmic scale, the share of requests not served, and marks
/// for actions and phases.
std::string renderPlot(const Experiment &experiment, const Report &report,
                       std::span<const ActionResult> actions);

} // namespace acaciaroad::load

#endif
