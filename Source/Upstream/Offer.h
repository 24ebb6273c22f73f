/// \file
/// A request offered to the node's upstream and what was decided on it.

#ifndef ACACIAROAD_UPSTREAM_OFFER_H
#define ACACIAROAD_UPSTREAM_OFFER_H

#include <cstdint>
#include <optional>
#include <string_view>

#include "Core/Clock.h"
#include "Core/ErrorKind.h"
#include "Core/Identifiers.h"

namespace acaciaroad::upstream {

/// Names a request within one node; chosen by the caller, never reused while
/// the request is queued or in flight.
using Ticket = std::uint64_t;

/// A request that wants a slot of the upstream. The views need to hold only
/// during the call.
struct Offer {
  Ticket Id = 0;
  std::string_view Account;
  std::string_view WorkClass;
  /// The answer is worthless after this moment.
  core::TimePoint Deadline{};
  /// The slice of the request's key, if its class is divided by key.
  std::optional<core::SliceIndex> Slice;
};

enum class AdmissionStatus : std::uint8_t {
  /// The caller sends the order now.
  Start,
  /// A hook tells later whether it starts or is refused.
  Queued,
  /// The order is not sent.
  Refused,
};

/// What becomes of an offered request.
struct Decision {
  AdmissionStatus Status = AdmissionStatus::Refused;
  /// The reason, if refused.
  core::ErrorKind Reason = core::ErrorKind::NoUpstream;
};

/// How an order ended.
enum class Outcome : std::uint8_t {
  /// The upstream answered in full, with whatever status.
  Ok,
  /// The upstream refused the order under load.
  Shed,
  /// The connection failed or broke before the answer was complete.
  Failed,
  /// The caller gave the order up.
  Cancelled,
};

} // namespace acaciaroad::upstream

#endif
