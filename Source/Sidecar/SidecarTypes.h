/// \file
/// Codec and logs that the sidecar's control thread works with.

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
#include "Rollouts/RolloutTypes.h"
#include "Routing/RoutingTypes.h"

namespace acaciaroad::sidecar {

/// A request from the local upstream to the control server.
struct UpstreamCall {
  enum class Kind { Unknown, Heartbeat, Leaves };
  Kind What = Kind::Unknown;
  std::string UpstreamId;
};

/// The parsed key of a record in the operators' log.
struct OperatorKey {
  enum class Kind { Unknown, Configuration, DataCentreOut, Rollout };
  Kind What = Kind::Unknown;
  /// Name of the data centre, for DataCentreOut.
  std::string DataCentre;
  /// Name of the service, for Rollout.
  std::string Service;
};

/// Whether a heartbeat must list the keys that the upstream holds and has
/// released: those of a keyed service must.
enum class KeyLists : std::uint8_t { Optional, Required };

/// Encodes and decodes the platform's message formats.
struct ControlCodec {
  std::function<UpstreamCall(const net::HttpRequest &)> ParseCall;
  std::function<core::Result<holdings::Heartbeat>(
      std::string_view upstreamId, std::string_view body, KeyLists lists)>
      DecodeHeartbeat;
  std::function<std::string(const std::optional<holdings::Grant> &)>
      EncodeGrant;
  std::function<OperatorKey(std::string_view)> ParseOperatorKey;
  std::function<core::Result<routing::Configuration>(std::string_view)>
      DecodeConfiguration;
  /// Decodes an order for the service of the record's key.
  std::function<core::Result<rollouts::Order>(std::string_view service,
                                              std::string_view value)>
      DecodeOrder;
  /// Returns the record that tells operators of a decision.
  std::function<feed::KeyedRecord(const rollouts::Rollout &)>
      EncodeRolloutStatus;
};

/// The platform's logs.
struct ControlLogs {
  /// Configuration and data centre records, written by operators.
  feed::KeyedLog Operators;
  /// Node and holdings records, written by the nodes.
  feed::KeyedLog Fleet;
  /// State of orders, written by the nodes for operators. Without operations if
  /// there is no such log.
  feed::KeyedLog Status{};
};

} // namespace acaciaroad::sidecar

#endif
