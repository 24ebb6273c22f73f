/// \file
/// Collects the ids of at-most-once requests before a gained slice starts.

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

/// A former owner of a slice, and the witnesses that know its ids.
struct HandoverSource {
  core::InstanceId Owner;
  std::vector<core::InstanceId> Witnesses;
  /// It was retired, so that only its witnesses can tell.
  bool IsRetired = false;
};

/// A question to one witness.
struct DueHandoverAsk {
  core::InstanceId Witness;
  IdempotencyHandoverAsk Ask;
};

/// Knows for each gained slice which former owners' ids are still missing. A
/// source is complete once it told itself, or once so many of its witnesses
/// did that every majority of them includes one of these.
class HandoverTracker {
public:
  /// Time that a former owner has for a planned move before its witnesses are
  /// asked as well, counted from the end of its own service of the slice.
  static constexpr std::chrono::milliseconds DirectHandoverTimeout{300};
  /// Interval between two questions to a witness.
  static constexpr std::chrono::milliseconds AskRetryInterval{100};

  explicit HandoverTracker(core::InstanceId self) : Self(self) {}

  /// This instance owns \p slice from \p epoch on. A slice that it owned
  /// without a break before needs nothing.
  void gained(const core::SliceId &slice, core::Epoch epoch,
              std::vector<HandoverSource> sources, core::TimePoint now);

  /// Another instance owns the slice.
  void lost(const core::SliceId &slice);

  /// A former owner was retired. Returns the slices that are complete now and
  /// were not before, since nobody can tell its ids.
  std::vector<core::SliceId> onOwnerRetired(core::InstanceId owner,
                                            core::TimePoint now);

  /// Former owners that are not among \p remaining have ended their service of
  /// \p slice; what they told may have been lost on the way.
  void onRemainingOwners(const core::SliceId &slice,
                         std::span<const core::InstanceId> remaining,
                         core::TimePoint now);

  /// Notes what a witness or a former owner told. Returns whether the slice is
  /// complete now and was not before.
  bool onHandover(const IdempotencyHandover &handover);

  /// Whether nothing is missing for \p slice.
  bool isComplete(const core::SliceId &slice) const;

  /// Returns the questions that are due, and notes that they are asked.
  std::vector<DueHandoverAsk> takeDueAsks(core::TimePoint now);

  std::optional<core::TimePoint> nextDeadline() const;

private:
  struct Source {
    HandoverSource Former;
    bool IsComplete = false;
    /// When its witnesses are asked next; never while it may tell itself.
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
  /// Slices that miss something.
  std::map<core::SliceId, PendingSlice> PendingSlices;
};

} // namespace acaciaroad::requests

#endif
