/// \file
/// The caller of one request as the entry side sees it.

#ifndef ACACIAROAD_NODE_CALLER_H
#define ACACIAROAD_NODE_CALLER_H

#include <cstddef>
#include <functional>
#include <span>
#include <string_view>

#include "Core/Error.h"
#include "Node/Order.h"
#include "Node/RequestIntake.h"
#include "Wire/ForwardHead.h"

namespace acaciaroad::node {

/// One request of a caller. Exactly one of Begin and Refuse is called.
struct Caller {
  CallerRequest Request;
  BodySource Body;
  /// Starts the answer.
  std::function<core::Result<void>(const wire::AnswerHead &)> Begin;
  /// Sends a part of the answer's body.
  std::function<core::Result<void>(std::span<const std::byte>)> Write;
  /// Ends the answer.
  std::function<core::Result<void>()> End;
  /// Cuts the connection, so that the caller does not take a part for the
  /// whole.
  std::function<void()> Abort;
  std::function<void(const core::Error &, std::string_view requestId)> Refuse;
  std::function<bool()> IsGone;
};

} // namespace acaciaroad::node

#endif
