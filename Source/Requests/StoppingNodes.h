/// \file
/// Nodes that refuse orders because they stop.

#ifndef ACACIAROAD_REQUESTS_STOPPINGNODES_H
#define ACACIAROAD_REQUESTS_STOPPINGNODES_H

#include <map>
#include <string>
#include <string_view>

#include "Core/Clock.h"

namespace acaciaroad::requests {

/// Orders that are sent on cross the end of such a node, so that nobody can
/// tell whether they have run. Pure; the caller serialises all calls.
class StoppingNodes {
public:
  /// \p node has refused an order because it stops.
  void refused(std::string_view node, core::TimePoint now);

  /// Returns how long \p node is not asked again; 0 if it may be asked.
  core::Duration remainingPause(std::string_view node, core::TimePoint now);

private:
  std::map<std::string, core::TimePoint, std::less<>> Until;
};

} // namespace acaciaroad::requests

#endif
