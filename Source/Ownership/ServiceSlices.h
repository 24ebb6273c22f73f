/// \file
/// The slices of one service and their assignment to its members.

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

/// Part of the FleetMap aggregate: the numbered slices and hot-key slices of
/// one service and their placement.
class ServiceSlices {
public:
  ServiceSlices(std::string name, std::uint32_t number,
                std::uint32_t sliceCount);
  /// Restores the result of snapshot(). The caller adds the members before it
  /// calls placeOwned().
  ServiceSlices(const ServiceSnapshot &from, std::uint32_t number);

  const std::string &name() const { return Name; }
  std::uint32_t number() const { return Number; }
  std::uint32_t sliceCount() const {
    return static_cast<std::uint32_t>(Numbered.size());
  }
  /// Returns the number of slices, including those of hot keys.
  std::uint32_t totalCount() const {
    return sliceCount() + static_cast<std::uint32_t>(Hot.size());
  }

  /// Returns the state of \p index, or null.
  const SliceState *find(core::SliceIndex index) const;

  /// Returns the state of \p index for writing. The slice must exist.
  SliceState &edit(core::SliceIndex index);

  /// Returns the slice that currently holds \p keyHash.
  core::SliceIndex indexOf(std::uint64_t keyHash) const;

  /// Sets the owner of slice \p index in its state and in the placement; 0 for
  /// no owner.
  void setOwner(core::SliceIndex index, core::InstanceId to);

  const std::vector<HotSlice> &hot() const { return Hot; }

  /// Adds a slice for \p keyHash with the owner of \p parent. Returns its
  /// index.
  core::SliceIndex addHot(std::uint64_t keyHash, const SliceState &parent);
  void removeHot(std::uint64_t keyHash);

  Placement &placement() { return Members; }
  const Placement &placement() const { return Members; }
  const std::set<core::SliceIndex> &orphans() const { return Orphans; }

  /// Adds every slice to the placement under its owner.
  void addSlicesToPlacement();

  /// Must be called when the set of eligible members has changed.
  void membersChanged() { Eligible.reset(); }

  ServiceSnapshot snapshot() const;

  /// Returns an immutable snapshot; the same object until something changes.
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
