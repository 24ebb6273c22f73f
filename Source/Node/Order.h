/// \file
/// A request as the node beside the upstream handles it, and how an order for
/// it ended.

#ifndef ACACIAROAD_NODE_ORDER_H
#define ACACIAROAD_NODE_ORDER_H

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Ownership/OwnershipView.h"
#include "Wire/ForwardHead.h"

namespace acaciaroad::node {

/// Reads the request's body; returns the number of bytes, 0 at its end.
using BodySource =
    std::function<core::Result<std::size_t>(std::span<std::byte>)>;

/// Where the answer goes. OnHead is called at most once, and before OnBody.
struct AnswerSink {
  std::function<core::Result<void>(const wire::AnswerHead &)> OnHead;
  std::function<core::Result<void>(std::span<const std::byte>)> OnBody;
};

/// Lets whoever gives a request up stop the order. The hook that is set runs
/// once, on any thread; at once if the request was given up already.
using SetOnCancelled = std::function<void(std::function<void()>)>;

/// A request that arrived at the node beside an upstream.
struct OrderRequest {
  wire::ForwardHead Head;
  core::TimePoint Deadline{};
  BodySource Body;
  SetOnCancelled Cancelled;
};

/// What is sent to the upstream.
struct Order {
  const wire::ForwardHead &Head;
  core::TimePoint Deadline{};
  /// For orders on a key.
  std::optional<ownership::Grant> Grant;
  const BodySource &Body;
  const SetOnCancelled &Cancelled;
};

enum class OrderEnd : std::uint8_t {
  /// The whole answer went to the sink.
  Answered,
  /// No byte of the order reached the upstream.
  NotSent,
  /// The upstream said that it has not run the order.
  NotRun,
  /// The order was sent, and nothing of an answer went to the sink.
  NoAnswer,
  /// The answer broke off after its head went to the sink.
  CutShort,
};

/// How one order ended; Reason tells the refusal for all but Answered.
struct OrderOutcome {
  OrderEnd End = OrderEnd::NotSent;
  core::ErrorKind Reason = core::ErrorKind::NoUpstream;
};

/// Sends one order to the upstream at "ip:port" and passes its answer on.
using SendOrder = std::function<OrderOutcome(
    std::string_view address, const Order &order, const AnswerSink &sink)>;

} // namespace acaciaroad::node

#endif
