/// \file
/// One log line for each decision on placement and credit.

#ifndef ACACIAROAD_NODE_PLACEMENTLOG_H
#define ACACIAROAD_NODE_PLACEMENTLOG_H

#include <memory>
#include <string_view>

#include "Accounts/CreditMessages.h"
#include "Logging/Logger.h"
#include "Ownership/OwnershipRecord.h"

namespace acaciaroad::node {

/// Names the events of docs/LOG-EVENTS.md that the control thread writes.
class PlacementLog {
public:
  explicit PlacementLog(std::shared_ptr<logging::Logger> logger)
      : Logger(std::move(logger)) {}

  /// This instance serves the slice from now on, or no longer.
  void ownStart(const core::SliceId &slice, core::Epoch epoch) const;
  void ownStop(const core::SliceId &slice, core::Epoch epoch) const;
  void leaseLost() const;
  void takeover(core::InstanceId retired, ownership::RetireReason reason) const;
  void creditGrant(core::InstanceId to,
                   const accounts::CreditGrant &grant) const;
  void dataCentreShare(std::string_view name, std::uint32_t permille) const;
  void keyWithdrawn(std::string_view keyId) const;

private:
  const std::shared_ptr<logging::Logger> Logger;
};

} // namespace acaciaroad::node

#endif
