/// \file
/// Follows the announcements of the upstream beside the node.

#ifndef ACACIAROAD_NODE_UPSTREAMMONITOR_H
#define ACACIAROAD_NODE_UPSTREAMMONITOR_H

#include <chrono>
#include <optional>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Upstream/UpstreamAnnouncement.h"

namespace acaciaroad::node {

/// Decides from heartbeats whether the upstream is there. Belongs to the
/// control thread.
class UpstreamMonitor {
public:
  /// Silence after which the upstream receives no orders.
  static constexpr std::chrono::seconds SilenceLimit{3};
  /// Silence after which the node gives its slices away.
  static constexpr std::chrono::seconds LossLimit{10};

  enum class State : std::uint8_t { Unknown, Present, Silent, Gone };

  /// A heartbeat. Fails with Conflict if it names another service than before,
  /// and with NodeStopping after the upstream has left.
  core::Result<void> announced(const upstream::UpstreamAnnouncement &upstream,
                               core::TimePoint now);

  /// The upstream stops.
  void left() { Now = State::Gone; }

  /// Returns the state at \p now.
  State onTick(core::TimePoint now);

  /// Returns when onTick is needed next; nothing if only a heartbeat matters.
  std::optional<core::TimePoint> nextDeadline() const;

private:
  State Now = State::Unknown;
  core::TimePoint LastHeartbeat{};
  std::string Service;
};

} // namespace acaciaroad::node

#endif
