/// \file
/// Failure detector of a witness for the lease holders that it monitors.

#ifndef ACACIAROAD_MEMBERSHIP_FAILUREDETECTOR_H
#define ACACIAROAD_MEMBERSHIP_FAILUREDETECTOR_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"

namespace acaciaroad::membership {

struct DetectorOptions {
  /// Silence after which a holder is suspected and probed. Must exceed two
  /// heartbeat intervals.
  core::Duration SuspicionTimeout = std::chrono::milliseconds(450);
  /// Silence reported by another witness that confirms a suspicion. Must exceed
  /// one heartbeat interval.
  core::Duration AgreementTimeout = std::chrono::milliseconds(300);
  /// Time to wait for replies to probes, from the holder and from its other
  /// witnesses.
  core::Duration ReplyTimeout = std::chrono::milliseconds(100);
  /// Additional delay per rank, so that usually only one witness proposes.
  core::Duration ProposalDelayPerRank = std::chrono::milliseconds(150);
  /// Interval between proposals and upper bound of the back-off between probes.
  core::Duration RepeatInterval = std::chrono::milliseconds(500);
};

/// Role of a witness in monitoring one holder.
struct WitnessRole {
  /// Position of this instance among the witnesses, from 0.
  std::uint32_t Rank = 0;
  /// Number of witnesses, including this one, that must agree on a loss. Equals
  /// the number needed to confirm that the lease has expired, because fewer
  /// could not complete a takeover.
  std::uint32_t Quorum = 1;
};

/// An action that the caller must take for a holder.
enum class ActionKind : std::uint8_t {
  /// Probe the holder and query its other witnesses.
  Probe,
  /// Propose that the holder is lost.
  ProposeLost,
};

struct Action {
  ActionKind Kind = ActionKind::Probe;
  core::InstanceId Holder;
  bool operator==(const Action &) const = default;
};

/// Monitors the few holders for which this instance is a witness, so its load
/// doesn't depend on the size of the fleet. Any evidence that a holder is
/// alive, its own or reported by another witness, clears the suspicion.
class FailureDetector {
public:
  explicit FailureDetector(DetectorOptions options) : Options(options) {}

  /// Starts to monitor \p holder, or updates its role.
  void watch(core::InstanceId holder, WitnessRole role, core::TimePoint now);
  void unwatch(core::InstanceId holder);

  /// Records that \p holder was alive at \p when.
  void markAlive(core::InstanceId holder, core::TimePoint when);

  /// Handles the report of another witness about how long it has not heard from
  /// \p holder.
  void onSilenceReport(core::InstanceId holder, core::InstanceId witness,
                       core::Duration silence, core::TimePoint now);

  /// Returns how long \p holder has been silent; nothing if it isn't monitored.
  std::optional<core::Duration> silenceOf(core::InstanceId holder,
                                          core::TimePoint now) const;

  /// Returns the actions that are due at \p now.
  std::vector<Action> onTick(core::TimePoint now);

  /// Returns when onTick must be called next; nothing without holders.
  std::optional<core::TimePoint> nextDeadline() const;

private:
  struct Holder {
    WitnessRole Role;
    core::TimePoint LastSeen;
    core::TimePoint NextActionAt;
    core::Duration ProbeInterval{};
    bool HasProbed = false;
    std::set<core::InstanceId> AgreeingWitnesses;
  };

  /// Clears the suspicion and restarts the timers from \p lastSeen.
  void restart(Holder &holder, core::TimePoint lastSeen) const;
  /// Returns the action of a holder whose timer is due, if any, and sets the
  /// timer again.
  std::optional<ActionKind> nextAction(Holder &holder,
                                       core::TimePoint now) const;

  DetectorOptions Options;
  std::map<core::InstanceId, Holder> Holders;
  std::optional<core::TimePoint> LastTick;
};

} // namespace acaciaroad::membership

#endif
