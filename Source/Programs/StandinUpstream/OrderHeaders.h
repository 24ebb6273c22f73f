/// \file
/// What a node tells an upstream with an order.

#ifndef ACACIAROAD_STANDINUPSTREAM_ORDERHEADERS_H
#define ACACIAROAD_STANDINUPSTREAM_ORDERHEADERS_H

#include <optional>
#include <string>

#include <httplib.h>

#include "Core/Clock.h"
#include "Core/Identifiers.h"

namespace acaciaroad::standinupstream {

/// The right to give orders for a slice.
struct Grant {
  /// "service/index".
  std::string Slice;
  core::Epoch Epoch = 0;
  core::TimePoint Expiry{};
};

/// The headers of an order.
struct OrderHeaders {
  std::string RequestId;
  /// Empty where the class of work is not divided by key.
  std::optional<Grant> Slice;
  std::optional<core::TimePoint> Deadline;
  std::string IdempotencyKey;
  bool HasAuthorization = false;
};

/// Reads them off \p request. Malformed numbers count as absent.
OrderHeaders readOrderHeaders(const httplib::Request &request);

} // namespace acaciaroad::standinupstream

#endif
