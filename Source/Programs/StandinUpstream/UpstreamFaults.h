/// \file
/// Faults of the stand-in upstream, switched on over HTTP.

#ifndef ACACIAROAD_STANDINUPSTREAM_UPSTREAMFAULTS_H
#define ACACIAROAD_STANDINUPSTREAM_UPSTREAMFAULTS_H

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "Core/Error.h"

namespace acaciaroad::standinupstream {

/// What goes wrong for as long as it is set.
struct UpstreamFaults {
  /// Factor on the service time.
  double StraggleFactor = 1;
  /// Orders refused in a thousand.
  std::uint32_t ShedPermille = 0;
  /// Age of what the load report tells.
  std::chrono::milliseconds LoadLag{0};
  /// The load report tells of an idle upstream.
  bool MisleadingLoad = false;
  /// Orders run, but are not answered.
  bool LoseAnswers = false;
  /// Connections break before the order runs.
  bool DropConnections = false;
};

/// A change of faults, and what happens once.
struct FaultRequest {
  UpstreamFaults Faults;
  /// Nothing moves for this long.
  std::chrono::milliseconds Freeze{0};
  /// Turn cold without announcing it.
  bool TurnCold = false;
};

/// Returns \p current with the members that the JSON object \p body names
/// replaced: `freeze_ms`, `cold`, `straggle_factor`, `shed_permille`,
/// `load_lag_ms`, `misleading_load`, `lose_answers`, `drop_connections`. Fails
/// with InvalidArgument.
core::Result<FaultRequest> readFaultRequest(const UpstreamFaults &current,
                                            std::string_view body);

} // namespace acaciaroad::standinupstream

#endif
