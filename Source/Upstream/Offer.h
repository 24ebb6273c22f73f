/// \file
/// The input and the result of admission control for the node's upstream.

#ifndef ACACIAROAD_UPSTREAM_OFFER_H
#define ACACIAROAD_UPSTREAM_OFFER_H

#include <cstdint>
#include <optional>
#include <string_view>

#include "Core/Clock.h"
#include "Core/ErrorKind.h"
#include "Core/Identifiers.h"

namespace acaciaroad::upstream {

/// Identifies a request within one node. Chosen by the caller; must not be
/// reused while the request is queued or in flight.
using Ticket = std::uint64_t;

/// A request that asks for a slot of the upstream. The views need to stay valid
/// only during the call.
struct Offer {
  Ticket Id = 0;
  std::string_view Account;
  std::string_view WorkClass;
  /// The caller no longer accepts an answer after this time.
  core::TimePoint Deadline{};
  /// The slice of the request's key, if its work class is sharded by key.
  std::optional<core::SliceIndex> Slice;
};

/// Result of offering a request for admission.
enum class AdmissionStatus : std::uint8_t {
  /// Admitted; the caller sends the order now.
  Start,
  /// Waits for a slot; it is started or refused later.
  Queued,
  /// Not admitted; the order is not sent.
  Refused,
};

/// The admission decision on an offered request.
struct Decision {
  AdmissionStatus Status = AdmissionStatus::Refused;
  /// Meaningful only if the request was refused.
  core::ErrorKind Reason = core::ErrorKind::NoUpstream;
};

/// How an order (a request that was sent to the upstream) ended.
enum class Outcome : std::uint8_t {
  /// The upstream sent a complete answer, with any status code.
  Ok,
  /// The upstream rejected the order because of overload.
  Shed,
  /// The connection failed before the answer was complete.
  Failed,
  /// The caller cancelled the order.
  Cancelled,
};

} // namespace acaciaroad::upstream

#endif
