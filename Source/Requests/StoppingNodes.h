/// \file
/// Nodes that refuse requests because they are stopping.

#ifndef ACACIAROAD_REQUESTS_STOPPINGNODES_H
#define ACACIAROAD_REQUESTS_STOPPINGNODES_H

#include <map>
#include <string>
#include <string_view>

#include "Core/Clock.h"

namespace acaciaroad::requests {

/// Remembers nodes that are stopping, so that no requests are sent to them for
/// a while: it would be unknown whether a request that reaches a node as it
/// stops has run. Not thread-safe; the caller serialises all calls.
class StoppingNodes {
public:
  /// Records that \p node refused a request because it is stopping.
  void refused(std::string_view node, core::TimePoint now);

  /// Returns the time until requests may be sent to \p node again; 0 if they
  /// may be sent now.
  core::Duration remainingPause(std::string_view node, core::TimePoint now);

private:
  std::map<std::string, core::TimePoint, std::less<>> Until;
};

} // namespace acaciaroad::requests

#endif
