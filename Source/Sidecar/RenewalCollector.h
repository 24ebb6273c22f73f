/// \file
/// Appends the lease renewals of several nodes together.

#ifndef ACACIAROAD_SIDECAR_RENEWALCOLLECTOR_H
#define ACACIAROAD_SIDECAR_RENEWALCOLLECTOR_H

#include <memory>

#include "Feed/FeedTypes.h"
#include "Holdings/FleetLedger.h"
#include "Holdings/RenewalBatch.h"
#include "Logging/Logger.h"

namespace acaciaroad::sidecar {

/// Takes in the renewals of the nodes that read through this one, and its own,
/// and appends those of a batch in one call. All members are called on the
/// control thread.
class RenewalCollector {
public:
  RenewalCollector(feed::KeyedLog fleet,
                   std::shared_ptr<logging::Logger> logger,
                   core::TimePoint created);

  /// Adds this node's own renewal. Returns false if there is no room.
  bool add(holdings::RenewalBatch::Renewal renewal) {
    return Batch.add(std::move(renewal));
  }

  /// Adds the renewal of another node. Returns false if \p record isn't the
  /// record of a node or there is no room; \p onDone isn't called then.
  bool accept(const feed::KeyedRecord &record,
              holdings::RenewalBatch::DoneHook onDone);

  /// Appends the batch if it is due. Returns whether an append was sent. To be
  /// called at each tick.
  bool appendDue(const holdings::FleetLedger &ledger, core::TimePoint now);

private:
  feed::KeyedLog Fleet;
  std::shared_ptr<logging::Logger> Log;
  holdings::RenewalBatch Batch;
};

} // namespace acaciaroad::sidecar

#endif
