/// \file
/// Decides when an owner splits off hot keys and sheds load to other instances.

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
  /// Utilisation of the upstream's slots, in thousandths: at HighPermille the
  /// instance becomes overloaded, below LowPermille it recovers.
  std::uint32_t HighPermille = 850;
  std::uint32_t LowPermille = 650;
  /// How long overload must last before each proposal.
  core::Duration OverloadDwell = std::chrono::seconds(3);
  /// Share of the instance's keyed requests, in thousandths, above which a key
  /// is hot, and up to which a hot key counts as cold.
  std::uint32_t HotPermille = 100;
  std::uint32_t ColdPermille = 20;
  /// How long a hot key must stay cold before its slice is removed.
  core::Duration ColdDwell = std::chrono::seconds(60);
  /// A hot key above this share, in thousandths, accounts for most of the load.
  /// It stays, and other slices are moved instead.
  std::uint32_t DominantPermille = 500;
  /// Interval at which decide() evaluates the counts and then halves them.
  core::Duration Interval = std::chrono::seconds(1);
  /// Number of keys tracked.
  std::size_t CounterCapacity = 512;
};

/// Proposes changes to the slices of one service that one instance owns.
/// Hysteresis and dwell times keep slices from oscillating between instances;
/// at most one move is proposed at a time.
class HotKeyPolicy {
public:
  /// Chooses the target of a move; nothing if no instance has spare capacity.
  using TargetFunction = std::function<std::optional<core::InstanceId>()>;

  HotKeyPolicy(HotKeyOptions options, core::InstanceId self,
               std::string service, TargetFunction chooseTarget)
      : Options(options), Self(self), Service(std::move(service)),
        ChooseTarget(std::move(chooseTarget)),
        Counter(options.CounterCapacity) {}

  void onRequests(std::uint64_t keyHash, std::uint64_t count) {
    Counter.add(keyHash, count);
  }

  /// Returns the record to propose at \p now, if any. \p loadPermille is the
  /// utilisation of the upstream in thousandths. Returns nothing between
  /// intervals.
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
  /// Start of the current cold period of each hot key of this instance.
  std::map<std::uint64_t, core::TimePoint> ColdSince;
};

} // namespace acaciaroad::ownership

#endif
