/// \file
/// The outcomes that a trace is judged against.

#ifndef ACACIAROAD_PROGRAMS_REPLAY_STATEDOUTCOMES_H
#define ACACIAROAD_PROGRAMS_REPLAY_STATEDOUTCOMES_H

#include <functional>
#include <string_view>
#include <vector>

#include "Core/Error.h"
#include "Programs/Replay/Judges.h"

namespace acaciaroad::replay {

/// Judges made from a TOML file: one for each of its tables.
struct StatedOutcomes {
  TraceClock Clock = TraceClock::Wall;
  std::vector<std::function<Verdict(Events)>> Judges;

  /// InvalidArgument for a table or field that is unknown or of a wrong type.
  static core::Result<StatedOutcomes> parse(std::string_view toml);
};

} // namespace acaciaroad::replay

#endif
