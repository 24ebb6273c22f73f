/// \file
/// The slices of one service and the members that share them.

#ifndef ACACIAROAD_OWNERSHIP_SERVICESLICES_H
#define ACACIAROAD_OWNERSHIP_SERVICESLICES_H

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Identifiers.h"
#include "Ownership/CowArray.h"
#include "Ownership/FleetTypes.h"
#include "Ownership/FleetView.h"
#include "Ownership/Placement.h"

namespace acaciaroad::ownership {

/// Part of the FleetMap aggregate: the states of the slices of one service,
/// numbered and hot, and their placement.
class ServiceSlices {
public:
  ServiceSlices(std::string name, std::uint32_t number,
                std::uint32_t sliceCount);
  /// Restores what snapshot() returned; members are added by the caller before
  /// it calls placeOwned().
  ServiceSlices(const ServiceSnapshot &from, std::uint32_t number);

  const std::string &name() const { return Name; }
  std::uint32_t number() const { return Number; }
  std::uint32_t sliceCount() const {
    return static_cast<std::uint32_t>(Numbered.size());
  }
  /// Returns the number of slices, hot ones included.
  std::uint32_t totalCount() const {
    return sliceCount() + static_cast<std::uint32_t>(Hot.size());
  }

  /// Returns the state of \p index, or null.
  const SliceState *find(core::SliceIndex index) const;

  /// Returns the state of \p index, which exists, for writing.
  SliceState &edit(core::SliceIndex index);

  /// Returns the slice that holds \p keyHash now.
  core::SliceIndex indexOf(std::uint64_t keyHash) const;

  /// Gives slice \p index to \p to (0: nobody) in the placement and its state.
  void setOwner(core::SliceIndex index, core::InstanceId to);

  const std::vector<HotSlice> &hot() const { return Hot; }

  /// Adds a slice for \p keyHash, owned like \p parent. Returns its index.
  core::SliceIndex addHot(std::uint64_t keyHash, const SliceState &parent);
  void removeHot(std::uint64_t keyHash);

  Placement &placement() { return Members; }
  const Placement &placement() const { return Members; }
  const std::set<core::SliceIndex> &orphans() const { return Orphans; }

  /// Enters every slice into the placement of its owner.
  void addSlicesToPlacement();

  /// Notes that the set of eligible members has changed.
  void membersChanged() { Eligible.reset(); }

  ServiceSnapshot snapshot() const;

  /// Returns an immutable copy, the same one until something changes.
  std::shared_ptr<const ServiceView> share();

private:
  std::string Name;
  std::uint32_t Number;
  CowArray<SliceState> Numbered;
  std::vector<HotSlice> Hot;
  core::SliceIndex NextHot = HotSliceBase;
  Placement Members;
  /// Slices without an owner.
  std::set<core::SliceIndex> Orphans;
  std::shared_ptr<const ServiceView> Published;
  std::shared_ptr<const std::vector<core::InstanceId>> Eligible;
};

} // namespace acaciaroad::ownership

#endif
