/// \file
/// Tells a witness when a holder it watches should be proposed as lost.

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
  /// Silence after which a holder is probed. More than two heartbeats.
  core::Duration SuspicionTimeout = std::chrono::milliseconds(450);
  /// Silence at which another witness agrees. More than one heartbeat.
  core::Duration AgreementTimeout = std::chrono::milliseconds(300);
  /// Time for answers to probes, directly and from other witnesses.
  core::Duration ReplyTimeout = std::chrono::milliseconds(100);
  /// Delay for each rank, so that one witness proposes as a rule.
  core::Duration ProposalDelayPerRank = std::chrono::milliseconds(150);
  /// Interval between proposals, and longest interval between probes.
  core::Duration RepeatInterval = std::chrono::milliseconds(500);
};

/// Part that a witness plays in watching one holder.
struct WitnessRole {
  /// Place of this instance among the witnesses, from 0.
  std::uint32_t Rank = 0;
  /// Witnesses, this one included, that must agree: as many as are needed to
  /// confirm that the lease has lapsed. Fewer could not complete a takeover.
  std::uint32_t Quorum = 1;
};

/// What the caller has to do next about a holder.
enum class ActionKind : std::uint8_t {
  /// Probe the holder and ask its other witnesses.
  Probe,
  /// Propose that the holder is lost.
  ProposeLost,
};

struct Action {
  ActionKind Kind = ActionKind::Probe;
  core::InstanceId Holder;
  bool operator==(const Action &) const = default;
};

/// Watches a handful of holders; its load does not depend on the fleet's size.
/// Any sign of life withdraws a suspicion.
class FailureDetector {
public:
  explicit FailureDetector(DetectorOptions options) : Options(options) {}

  /// Starts to watch \p holder, or changes its Watch.
  void watch(core::InstanceId holder, WitnessRole role, core::TimePoint now);
  void unwatch(core::InstanceId holder);

  /// Notes that \p holder was alive at \p when.
  void markAlive(core::InstanceId holder, core::TimePoint when);

  /// Notes what another witness says: for how long it has not heard of
  /// \p holder.
  void onSilenceReport(core::InstanceId holder, core::InstanceId witness,
                       core::Duration silence, core::TimePoint now);

  /// Returns for how long \p holder has been silent, if it is watched.
  std::optional<core::Duration> silenceOf(core::InstanceId holder,
                                          core::TimePoint now) const;

  std::vector<Action> onTick(core::TimePoint now);

  /// Returns when onTick is needed next.
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

  void restart(Holder &holder, core::TimePoint lastSeen) const;
  std::optional<ActionKind> nextAction(Holder &holder,
                                       core::TimePoint now) const;

  DetectorOptions Options;
  std::map<core::InstanceId, Holder> Holders;
  std::optional<core::TimePoint> LastTick;
};

} // namespace acaciaroad::membership

#endif
