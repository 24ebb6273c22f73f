/// \file
/// Turns what a caller sent into a request of a client account and a class of
/// work, or refuses it.

#ifndef ACACIAROAD_NODE_REQUESTINTAKE_H
#define ACACIAROAD_NODE_REQUESTINTAKE_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "Configuration/Catalogue.h"
#include "Core/Error.h"
#include "Wire/ForwardHead.h"

namespace acaciaroad::node {

/// The head of a caller's request.
struct CallerRequest {
  std::string_view Method;
  std::string_view Target;
  std::span<const wire::Header> Headers;
  wire::BodyMode Body = wire::BodyMode::None;
  /// Bytes, for BodyMode::Sized.
  std::uint64_t BodyLength = 0;
};

/// A request that may be routed.
struct AcceptedRequest {
  configuration::WorkClass Class;
  /// Without the caller's key and without a deadline.
  wire::ForwardHead Head;
  /// Public part of the caller's key.
  std::string KeyId;
  /// Whether one owner has to serve it.
  bool IsKeyed = false;
};

/// Checks a request against the configuration. Errors: those of
/// configuration::Catalogue::authenticate, findClass and routingKey;
/// BodyTooLarge; IdempotencyKeyMissing; MalformedRequest for an unusable
/// Idempotency-Key.
core::Result<AcceptedRequest>
acceptRequest(const configuration::Catalogue &catalogue,
              const CallerRequest &request, std::string_view requestId);

} // namespace acaciaroad::node

#endif
