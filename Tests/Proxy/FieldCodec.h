/// \file
/// A header codec for tests that need no platform.

#ifndef ACACIAROAD_TESTS_PROXY_FIELDCODEC_H
#define ACACIAROAD_TESTS_PROXY_FIELDCODEC_H

#include <chrono>
#include <string_view>

#include "Holdings/HoldingTypes.h"
#include "Net/HttpMessage.h"
#include "Proxy/HeaderCodec.h"

namespace acaciaroad::tests {

/// Upstream and key of all requests.
inline constexpr const char *UpstreamId = "u";
inline constexpr holdings::Key RequestKey = 7;

/// Returns a codec with field names of its own; those of the platform are in
/// its adapter.
inline proxy::HeaderCodec makeHeaderCodec() {
  using net::HttpFields;
  proxy::HeaderCodec out;
  out.ReadCaller = [](const HttpFields &fields) {
    proxy::CallerFields caller;
    caller.RequestId = net::fieldOf(fields, "id");
    caller.ParentId = net::fieldOf(fields, "parent");
    caller.AccountKey = net::fieldOf(fields, "account-key");
    caller.TimeLimit = std::chrono::seconds(5);
    caller.Key = RequestKey;
    return caller;
  };
  out.WriteOrder = [](HttpFields &fields, const proxy::OrderFields &order) {
    fields.erase("account-key");
    fields.set("account", net::toBeast(order.Account));
    fields.set("time-left-ms",
               std::to_string(order.TimeLeft / std::chrono::milliseconds(1)));
  };
  out.ReadOrder = [](const HttpFields &) {
    return proxy::OrderFields{std::chrono::seconds(5), UpstreamId, {}, {}};
  };
  out.ReadAnswer = [](const HttpFields &fields) {
    proxy::AnswerFields answer;
    answer.RequestId = net::fieldOf(fields, "id");
    answer.IsNotRun = fields.count("not-run") > 0;
    answer.IsSigned = fields.count("signed") > 0;
    return answer;
  };
  out.WriteRequestId = [](HttpFields &fields, std::string_view id) {
    fields.set("id", net::toBeast(id));
  };
  return out;
}

} // namespace acaciaroad::tests

#endif
