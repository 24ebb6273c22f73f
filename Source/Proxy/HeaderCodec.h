/// \file
/// Request metadata that travels in the platform's header fields.

#ifndef ACACIAROAD_PROXY_HEADERCODEC_H
#define ACACIAROAD_PROXY_HEADERCODEC_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "Core/Clock.h"
#include "Holdings/HoldingTypes.h"
#include "Net/HttpMessage.h"

namespace acaciaroad::proxy {

/// Metadata of a caller's request. The views point into the request.
struct CallerFields {
  std::string_view RequestId;
  /// Id of the request for which the caller makes this one, as far as its id
  /// tells; empty for none.
  std::string_view ParentId;
  /// How long the caller waits for the answer.
  std::optional<core::Duration> TimeLimit;
  /// Key of the client account; empty if the request carries none.
  std::string_view AccountKey;
  /// Key by which a keyed service routes the request.
  std::optional<holdings::Key> Key;
};

/// Metadata of a request as the upstream receives it.
struct OrderFields {
  /// Until the deadline.
  core::Duration TimeLeft{};
  /// Id of the upstream that the request is meant for; others refuse it.
  std::string_view ExpectedUpstream;
  /// Name of the client account; empty for none.
  std::string_view Account;
  /// Service of the instance where the request originated.
  std::string_view CallerService;
};

/// Load as an upstream reports it.
struct UpstreamLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// Current duration of a request, in percent of the usual duration.
  std::uint32_t DurationPercent = 100;
};

/// Metadata of an upstream's answer.
struct AnswerFields {
  std::string_view RequestId;
  /// The upstream states that it did not run the request.
  bool IsNotRun = false;
  bool IsSigned = false;
  std::optional<UpstreamLoad> Load;
};

/// Reads and writes request metadata in header fields.
struct HeaderCodec {
  std::function<CallerFields(const net::HttpFields &)> ReadCaller;
  /// Sets the fields of an order and overwrites those that the caller sent
  /// under the same names.
  std::function<void(net::HttpFields &, const OrderFields &)> WriteOrder;
  /// Reads what WriteOrder has set.
  std::function<OrderFields(const net::HttpFields &)> ReadOrder;
  std::function<AnswerFields(const net::HttpFields &)> ReadAnswer;
  /// Sets the id of the request that an answer of this node belongs to.
  std::function<void(net::HttpFields &, std::string_view requestId)>
      WriteRequestId;
};

} // namespace acaciaroad::proxy

#endif
