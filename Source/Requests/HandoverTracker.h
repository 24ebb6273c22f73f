/// \file
/// Tracks the handover of idempotency ids to the new owner of a slice.

#ifndef ACACIAROAD_REQUESTS_HANDOVERTRACKER_H
#define ACACIAROAD_REQUESTS_HANDOVERTRACKER_H

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"
#include "Requests/IdempotencyMessages.h"

namespace acaciaroad::requests {

/// A former owner of a slice, and the witnesses that store its ids.
struct HandoverSource {
  core::InstanceId Owner;
  std::vector<core::InstanceId> Witnesses;
  /// The owner is retired, so only its witnesses can hand over the ids.
  bool IsRetired = false;
};

/// A handover request to be sent to one witness.
struct DueHandoverAsk {
  core::InstanceId Witness;
  IdempotencyHandoverAsk Ask;
};

/// Tracks for each slice that this instance gained which former owners' ids are
/// still missing. A former owner is complete once it has handed over its ids
/// itself, or once enough of its witnesses have: so many that every majority of
/// them contains at least one.
class HandoverTracker {
public:
  /// Time that a former owner has to hand over its ids in a planned move,
  /// counted from the end of its service of the slice. After it, its witnesses
  /// are asked as well.
  static constexpr std::chrono::milliseconds DirectHandoverTimeout{300};
  /// Interval at which an unanswered handover request to a witness is repeated.
  static constexpr std::chrono::milliseconds AskRetryInterval{100};

  explicit HandoverTracker(core::InstanceId self) : Self(self) {}

  /// Starts to track \p slice, which this instance owns from \p epoch on. If
  /// this instance is among \p sources itself, it counts as complete: it
  /// already has its own ids.
  void gained(const core::SliceId &slice, core::Epoch epoch,
              std::vector<HandoverSource> sources, core::TimePoint now);

  /// Stops tracking a slice that another instance owns now.
  void lost(const core::SliceId &slice);

  /// Records that a former owner was retired and asks its witnesses from now
  /// on. Returns the slices that this completes: without witnesses, there is
  /// nobody left to hand over the owner's ids.
  std::vector<core::SliceId> onOwnerRetired(core::InstanceId owner,
                                            core::TimePoint now);

  /// Records which former owners still serve \p slice. The others have sent
  /// their handover, which may be lost; their witnesses are asked after
  /// `DirectHandoverTimeout`.
  void onRemainingOwners(const core::SliceId &slice,
                         std::span<const core::InstanceId> remaining,
                         core::TimePoint now);

  /// Records the handover of a witness or a former owner. Returns whether it
  /// completes the slice; handovers of other epochs are ignored.
  bool onHandover(const IdempotencyHandover &handover);

  /// Returns whether no ids are missing for \p slice.
  bool isComplete(const core::SliceId &slice) const;

  /// Returns the handover requests that are due and schedules their repetition.
  std::vector<DueHandoverAsk> takeDueAsks(core::TimePoint now);

  std::optional<core::TimePoint> nextDeadline() const;

private:
  struct Source {
    HandoverSource Former;
    bool IsComplete = false;
    /// When the witnesses are asked next; max() while the owner is expected to
    /// hand over its ids itself.
    core::TimePoint NextAskAt = core::TimePoint::max();
    std::set<core::InstanceId> Answered;
  };
  struct PendingSlice {
    core::Epoch Epoch = 0;
    std::vector<Source> Sources;

    bool isComplete() const;
  };

  static bool recordHandover(Source &source, core::InstanceId from);

  core::InstanceId Self;
  /// Slices with missing ids.
  std::map<core::SliceId, PendingSlice> PendingSlices;
};

} // namespace acaciaroad::requests

#endif
