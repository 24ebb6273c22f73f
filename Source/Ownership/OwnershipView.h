/// \file
/// What traffic threads know of ownership.

#ifndef ACACIAROAD_OWNERSHIP_OWNERSHIPVIEW_H
#define ACACIAROAD_OWNERSHIP_OWNERSHIPVIEW_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string_view>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"
#include "Ownership/FleetView.h"
#include "Ownership/SliceLedger.h"

namespace acaciaroad::ownership {

/// Times that change with every heartbeat, apart from the views, so that a
/// renewal needs no new view. Nanoseconds on the boot clock.
struct LeaseDeadlines {
  /// The lease holds before this time.
  std::atomic<std::int64_t> Expiry{0};
  /// The instance counts as isolated from this time on.
  std::atomic<std::int64_t> ContactExpiry{0};
};

/// Permission to serve a slice. An order sent under it must carry a deadline
/// not after Expiry: the check may be followed by a pause.
struct Grant {
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  core::TimePoint Expiry;
};

/// An immutable view, safe on any thread; republished on ownership records.
class OwnershipView {
public:
  OwnershipView(core::InstanceId self, FleetView fleet,
                std::shared_ptr<const GrantTable> grants,
                std::shared_ptr<const LeaseDeadlines> clock, bool checksExpiry)
      : Self(self), Fleet(std::move(fleet)), Grants(std::move(grants)),
        Clock(std::move(clock)), ChecksExpiry(checksExpiry) {}

  core::InstanceId self() const { return Self; }
  const FleetView &fleet() const { return Fleet; }
  /// The slices that this instance has started.
  const GrantTable &grants() const { return *Grants; }

  /// Returns the owner of \p keyHash. Errors: NoOwner.
  core::Result<SliceOwner> ownerOf(std::string_view service,
                                   std::uint64_t keyHash) const;

  /// Returns the grant under which this instance may serve \p keyHash at
  /// \p now. Errors: NodeIsolated; NoOwner if the service is unknown, the slice
  /// waits for a predecessor or the lease has lapsed; OwnerChanged if another
  /// instance owns the slice.
  core::Result<Grant> mayServe(std::string_view service, std::uint64_t keyHash,
                               core::TimePoint now) const;

  /// Returns whether this instance has to stop new work of any kind: it has
  /// heard neither the log nor a majority of its witnesses for too long.
  bool isIsolated(core::TimePoint now) const;

private:
  core::InstanceId Self;
  FleetView Fleet;
  std::shared_ptr<const GrantTable> Grants;
  std::shared_ptr<const LeaseDeadlines> Clock;
  bool ChecksExpiry;
};

} // namespace acaciaroad::ownership

#endif
