/// \file
/// Where control messages to an instance go.

#ifndef ACACIAROAD_NODE_PEERDIRECTORY_H
#define ACACIAROAD_NODE_PEERDIRECTORY_H

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Core/Identifiers.h"
#include "Ownership/FleetMap.h"

namespace acaciaroad::node {

/// Finds addresses in the fleet's map, and remembers those of senders that have
/// not joined yet. Belongs to the control thread.
class PeerDirectory {
public:
  /// Notes where answers to \p id go.
  void learn(core::InstanceId id, std::string_view address);

  /// Returns "ip:port", or nothing for an instance never heard of.
  std::optional<std::string> addressOf(core::InstanceId id,
                                       const ownership::FleetMap &map) const;

private:
  static constexpr std::size_t MaxLearned = 4096;

  std::unordered_map<core::InstanceId, std::string> Learned;
  std::deque<core::InstanceId> ByAge;
};

} // namespace acaciaroad::node

#endif
