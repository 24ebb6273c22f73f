/// \file
/// When an owner proposes slices for hot keys, and moves load off itself.

#ifndef ACACIAROAD_OWNERSHIP_HOTKEYPOLICY_H
#define ACACIAROAD_OWNERSHIP_HOTKEYPOLICY_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Core/Clock.h"
#include "Core/Identifiers.h"
#include "Ownership/FleetMap.h"
#include "Ownership/OwnershipRecord.h"
#include "Ownership/SpaceSavingCounter.h"

namespace acaciaroad::ownership {

struct HotKeyOptions {
  /// Utilisation of the upstream's slots, in thousandths, at which the instance
  /// counts as overloaded, and below which it is in order again.
  std::uint32_t HighPermille = 850;
  std::uint32_t LowPermille = 650;
  /// Overload has to last so long before each proposal.
  core::Duration OverloadDwell = std::chrono::seconds(3);
  /// Share of the instance's keyed requests from which a key is hot, and below
  /// which it is cold again.
  std::uint32_t HotPermille = 100;
  std::uint32_t ColdPermille = 20;
  /// A hot key has to stay cold for so long.
  core::Duration ColdDwell = std::chrono::seconds(60);
  /// A key with more than this share is the load itself: it stays, and other
  /// slices move.
  std::uint32_t DominantPermille = 500;
  /// Interval at which decide() looks at the counts and halves them.
  core::Duration Interval = std::chrono::seconds(1);
  /// Keys that are counted.
  std::size_t CounterCapacity = 512;
};

/// Decides for the slices of one service that one instance owns. Hysteresis and
/// dwell times keep slices from moving to and fro; a move is proposed only for
/// one slice at a time.
class HotKeyPolicy {
public:
  /// Chooses where a slice goes; nothing if no instance has room.
  using TargetFunction = std::function<std::optional<core::InstanceId>()>;

  HotKeyPolicy(HotKeyOptions options, core::InstanceId self,
               std::string service, TargetFunction chooseTarget)
      : Options(options), Self(self), Service(std::move(service)),
        ChooseTarget(std::move(chooseTarget)),
        Counter(options.CounterCapacity) {}

  void onRequests(std::uint64_t keyHash, std::uint64_t count) {
    Counter.add(keyHash, count);
  }

  /// Returns what to propose at \p now, when the upstream's utilisation is
  /// \p loadPermille; nothing between intervals.
  std::optional<OwnershipRecord>
  decide(const FleetMap &map, std::uint32_t loadPermille, core::TimePoint now);

private:
  std::optional<OwnershipRecord>
  proposeLoadReduction(const ServiceSlices &service);
  std::optional<OwnershipRecord>
  proposeNumberedSliceMove(const ServiceSlices &service);
  std::optional<OwnershipRecord> proposeMove(const ServiceSlices &service,
                                             core::SliceIndex index);
  std::optional<OwnershipRecord>
  proposeHotKeyRemoval(const ServiceSlices &service, core::TimePoint now);
  bool isOwnedAndSettled(const SliceState &state) const;
  std::uint64_t permilleOf(std::uint64_t count) const;
  void updateOverload(std::uint32_t loadPermille, core::TimePoint now);

  HotKeyOptions Options;
  core::InstanceId Self;
  std::string Service;
  TargetFunction ChooseTarget;
  SpaceSavingCounter Counter;
  core::TimePoint NextDecision;
  std::optional<core::TimePoint> OverloadedSince;
  /// Since when each hot key of this instance has been cold.
  std::map<std::uint64_t, core::TimePoint> ColdSince;
};

} // namespace acaciaroad::ownership

#endif
