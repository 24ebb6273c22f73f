/// \file
/// Ownership as seen by traffic threads.

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

/// Deadlines that change with every heartbeat, in nanoseconds on the boot
/// clock. They are kept outside the view so that a renewal needs no new view.
struct LeaseDeadlines {
  /// The lease is valid before this time.
  std::atomic<std::int64_t> Expiry{0};
  /// The instance is isolated from this time on.
  std::atomic<std::int64_t> ContactExpiry{0};
};

/// Permission to serve a slice. An order sent under it must carry a deadline no
/// later than Expiry, because the process may pause after the check.
struct Grant {
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  core::TimePoint Expiry;
};

/// An immutable view, safe to use from any thread. A new one is published when
/// an ownership record is accepted or a slice starts.
class OwnershipView {
public:
  OwnershipView(core::InstanceId self, FleetView fleet,
                std::shared_ptr<const GrantTable> grants,
                std::shared_ptr<const LeaseDeadlines> clock, bool checksExpiry)
      : Self(self), Fleet(std::move(fleet)), Grants(std::move(grants)),
        Clock(std::move(clock)), ChecksExpiry(checksExpiry) {}

  core::InstanceId self() const { return Self; }
  const FleetView &fleet() const { return Fleet; }
  /// Returns the slices that this instance has started to serve.
  const GrantTable &grants() const { return *Grants; }

  /// Returns the owner of \p keyHash. Errors: NoOwner.
  core::Result<SliceOwner> ownerOf(std::string_view service,
                                   std::uint64_t keyHash) const;

  /// Returns the grant under which this instance may serve \p keyHash at
  /// \p now. Errors: NodeIsolated; NoOwner if the service is unknown, the slice
  /// waits for a predecessor or the lease has expired; OwnerChanged if another
  /// instance owns the slice.
  core::Result<Grant> mayServe(std::string_view service, std::uint64_t keyHash,
                               core::TimePoint now) const;

  /// Returns whether this instance must reject all new work, because it has
  /// reached neither the log nor a majority of its witnesses for too long or
  /// lags behind the log.
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
