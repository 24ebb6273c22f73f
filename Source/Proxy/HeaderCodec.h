/// \file
/// How requests and answers tell their metadata; the names are the platform's.

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

/// What a caller's request says beside method, path and body. The views are
/// into the request.
struct CallerFields {
  std::string_view RequestId;
  /// How long the caller waits.
  std::optional<core::Duration> TimeLimit;
  /// Empty if the request carries none.
  std::string_view AccountKey;
  std::optional<holdings::Key> Key;
};

/// What an upstream is told beside method, path and body.
struct OrderFields {
  core::Duration TimeLeft{};
  /// Id of the upstream that is meant; others refuse.
  std::string_view ExpectedUpstream;
  /// Client account; empty for none.
  std::string_view Account;
  /// Service that runs on the instance where the request began.
  std::string_view CallerService;
};

/// Load as an upstream reports it.
struct UpstreamLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// Duration of work at this moment, in percent of the usual.
  std::uint32_t DurationPercent = 100;
};

/// What an upstream's answer says beside status and body.
struct AnswerFields {
  std::string_view RequestId;
  /// The upstream states that it did not run the request.
  bool IsNotRun = false;
  bool IsSigned = false;
  std::optional<UpstreamLoad> Load;
};

/// Reads and writes the metadata.
struct HeaderCodec {
  std::function<CallerFields(const net::HttpFields &)> ReadCaller;
  /// Sets the fields of an order, whatever a caller sent under their names.
  std::function<void(net::HttpFields &, const OrderFields &)> WriteOrder;
  /// Reads what WriteOrder has set.
  std::function<OrderFields(const net::HttpFields &)> ReadOrder;
  std::function<AnswerFields(const net::HttpFields &)> ReadAnswer;
  /// Names the request that an answer of this node belongs to.
  std::function<void(net::HttpFields &, std::string_view requestId)>
      WriteRequestId;
};

} // namespace acaciaroad::proxy

#endif
