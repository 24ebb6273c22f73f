/// \file
/// Serves requests at the node beside the upstream: ownership, admission,
/// at-most-once ids, the order itself.

#ifndef ACACIAROAD_NODE_ORDERSERVICE_H
#define ACACIAROAD_NODE_ORDERSERVICE_H

#include <atomic>
#include <memory>
#include <optional>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Node/AdmissionGate.h"
#include "Node/DecisionLog.h"
#include "Node/IdempotencyGate.h"
#include "Node/NodeView.h"
#include "Node/Order.h"

namespace acaciaroad::node {

/// What an OrderService works with.
struct OrderServiceParts {
  std::shared_ptr<const PublishedView> View;
  std::shared_ptr<AdmissionGate> Gate;
  std::shared_ptr<IdempotencyGate> Idempotency;
  std::shared_ptr<DecisionLog> Decisions;
  SendOrder Send;
  core::NowFunction Now;
};

/// Serves requests on traffic threads.
class OrderService {
public:
  explicit OrderService(OrderServiceParts parts) : Parts(std::move(parts)) {}

  /// Serves one request and passes its answer to \p sink. An error is the
  /// refusal to give; if the sink has seen a head already, the answer was cut
  /// short.
  core::Result<void> serve(const OrderRequest &request, const AnswerSink &sink);

private:
  struct Work {
    const OrderRequest &Request;
    const AnswerSink &Sink;
    bool IsAtMostOnce = false;
    /// The upstream's state belongs to the key, so the order must end within
    /// the grant. Otherwise the slice only guards the ids of requests that run
    /// at most once, which the witnesses know before the order is sent.
    bool IsFenced = false;
    std::optional<core::SliceIndex> Slice;
  };

  core::Result<std::optional<ownership::Grant>>
  checkOwnership(const NodeView &view, const Work &work,
                 core::TimePoint now) const;
  core::Result<void> checkTakesWork(const NodeView &view) const;
  core::Result<void> run(const Work &work, Permit permit);
  core::Result<void> runOnce(const Work &work, const ownership::Grant &grant,
                             Permit permit);
  OrderOutcome send(const Work &work,
                    const std::optional<ownership::Grant> &grant,
                    const AnswerSink &sink, Permit permit);

  const OrderServiceParts Parts;
};

} // namespace acaciaroad::node

#endif
