/// \file
/// One log line for each step of an order.

#ifndef ACACIAROAD_STANDINUPSTREAM_ORDERLOG_H
#define ACACIAROAD_STANDINUPSTREAM_ORDERLOG_H

#include <memory>

#include "Logging/Logger.h"
#include "Programs/StandinUpstream/OrderBook.h"
#include "Programs/StandinUpstream/OrderHeaders.h"
#include "Programs/StandinUpstream/UpstreamStats.h"

namespace acaciaroad::standinupstream {

/// Names the upstream's events of docs/LOG-EVENTS.md.
class OrderLog {
public:
  explicit OrderLog(std::shared_ptr<logging::Logger> logger)
      : Logger(std::move(logger)) {}

  /// Work begins, or the order makes a cold upstream fall over.
  void order(const OrderHeaders &headers, const OrderLoad &load) const;

  /// No work was done.
  void refuse(const OrderHeaders &headers, Refusal refusal) const;

  /// Work ended; a \p status of 0 stands for a dropped connection.
  void end(const OrderHeaders &headers, int status) const;

private:
  const std::shared_ptr<logging::Logger> Logger;
};

} // namespace acaciaroad::standinupstream

#endif
