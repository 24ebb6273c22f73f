/// \file
/// Sends orders to the upstream beside the node over HTTP.

#ifndef ACACIAROAD_NODE_UPSTREAMLINK_H
#define ACACIAROAD_NODE_UPSTREAMLINK_H

#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "Http/UpstreamClient.h"
#include "Node/Order.h"

namespace acaciaroad::node {

/// Keeps the client of the upstream's present address. Callable from any
/// thread.
class UpstreamLink {
public:
  /// Sets how many connections the upstream accepts.
  void setConnectionLimit(std::size_t limit);

  /// Sends one order; see SendOrder.
  OrderOutcome send(std::string_view address, const Order &order,
                    const AnswerSink &sink);

  http::UpstreamClientCounters counters() const;

private:
  core::Result<std::shared_ptr<http::UpstreamClient>>
  clientOf(std::string_view address);

  mutable std::mutex Mutex;
  std::string Address;
  std::size_t ConnectionLimit = 1;
  std::shared_ptr<http::UpstreamClient> Client;
};

} // namespace acaciaroad::node

#endif
