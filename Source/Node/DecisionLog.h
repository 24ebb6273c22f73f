/// \file
/// One log line for each routing decision.

#ifndef ACACIAROAD_NODE_DECISIONLOG_H
#define ACACIAROAD_NODE_DECISIONLOG_H

#include <memory>
#include <optional>
#include <string_view>

#include "Core/Error.h"
#include "Logging/Logger.h"
#include "Ownership/OwnershipView.h"
#include "Wire/ForwardHead.h"

namespace acaciaroad::node {

/// Names the events of docs/LOG-EVENTS.md.
class DecisionLog {
public:
  explicit DecisionLog(std::shared_ptr<logging::Logger> logger)
      : Logger(std::move(logger)) {}

  /// The entry node chose an instance.
  void route(const wire::ForwardHead &head, core::InstanceId to,
             std::string_view reason, int attempt) const;

  /// The node beside the upstream is about to send an order.
  void order(const wire::ForwardHead &head,
             const std::optional<ownership::Grant> &grant) const;

  /// An order ended.
  void orderEnd(const wire::ForwardHead &head, std::string_view outcome) const;

  /// The caller received an answer of the upstream.
  void answer(const wire::ForwardHead &head, int status,
              core::Duration latency) const;

  /// The caller received a refusal.
  void refuse(std::string_view requestId, std::string_view account,
              std::string_view workClass, const core::Error &error) const;

  /// A request of a client account was admitted under its rate.
  void admit(std::string_view requestId, std::string_view account,
             std::string_view keyId) const;

  logging::Logger &logger() const { return *Logger; }

private:
  const std::shared_ptr<logging::Logger> Logger;
};

} // namespace acaciaroad::node

#endif
