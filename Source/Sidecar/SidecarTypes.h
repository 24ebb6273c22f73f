/// \file
/// What the sidecar's control thread is given at its start.

#ifndef ACACIAROAD_SIDECAR_SIDECARTYPES_H
#define ACACIAROAD_SIDECAR_SIDECARTYPES_H

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Error.h"
#include "Feed/FeedTypes.h"
#include "Holdings/HoldingTypes.h"
#include "Net/HttpMessage.h"
#include "Routing/RoutingTypes.h"

namespace acaciaroad::sidecar {

/// A call of the own upstream.
struct UpstreamCall {
  enum class Kind { Unknown, Heartbeat, Leaves };
  Kind What = Kind::Unknown;
  std::string UpstreamId;
};

/// What a record of the operators is about.
struct OperatorKey {
  enum class Kind { Unknown, Configuration, DataCentreOut };
  Kind What = Kind::Unknown;
  /// Name of the data centre.
  std::string DataCentre;
};

/// The platform's formats.
struct ControlCodec {
  std::function<UpstreamCall(const net::HttpRequest &)> ParseCall;
  std::function<core::Result<holdings::Heartbeat>(std::string_view upstreamId,
                                                  std::string_view body)>
      DecodeHeartbeat;
  std::function<std::string(const std::optional<holdings::Grant> &)>
      EncodeGrant;
  std::function<OperatorKey(std::string_view)> ParseOperatorKey;
  std::function<core::Result<routing::Configuration>(std::string_view)>
      DecodeConfiguration;
};

/// The platform's logs.
struct ControlLogs {
  /// What operators write.
  feed::KeyedLog Operators;
  /// The fleet's own records.
  feed::KeyedLog Fleet;
};

} // namespace acaciaroad::sidecar

#endif
