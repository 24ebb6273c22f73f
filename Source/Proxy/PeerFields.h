/// \file
/// Header fields that nodes exchange with each other.

#ifndef ACACIAROAD_PROXY_PEERFIELDS_H
#define ACACIAROAD_PROXY_PEERFIELDS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Core/ErrorKind.h"
#include "Net/HttpMessage.h"
#include "Requests/PeerLoad.h"
#include "Requests/RequestPolicy.h"
#include "Routing/RoutingTypes.h"

namespace acaciaroad::proxy {

/// What the entry node tells the upstream's node about an order.
struct ForwardFields {
  /// Service that is to run the order; empty if the entry node doesn't name it.
  std::string_view Service;
  std::string_view WorkClass;
  std::int32_t Rank = 0;
  routing::WorkKind Kind = routing::WorkKind::AtMostOnce;
  /// Time left until the answer loses value.
  core::Duration TargetLeft{};
};

void writeForward(net::HttpFields &fields, const ForwardFields &forward);
ForwardFields readForward(const net::HttpFields &fields);

/// What the upstream's node tells the entry node about an attempt.
struct ForwardOutcome {
  requests::AttemptOutcome Outcome = requests::AttemptOutcome::SentNoAnswer;
  /// Only valid if the upstream has not answered.
  core::ErrorKind Reason = core::ErrorKind::OutcomeUnknown;
  /// The order was sent to the upstream, even if that refused it.
  bool ReachedUpstream = false;
  core::Duration RetryAfter{};
  /// Current holder of the order's key, if the node that was asked is not it.
  std::string Holder;
  requests::ReportedLoad Load;
};

void writeOutcome(net::HttpFields &fields, const ForwardOutcome &outcome);
/// Returns an unknown outcome if the answer lacks the fields.
ForwardOutcome readOutcome(const net::HttpFields &fields);

/// Asks another node for a permit to send a body of \p bytes.
net::HttpRequest makePermitRequest(std::uint64_t bytes);
/// Returns the size of the body if \p request asks for a permit.
std::optional<std::uint64_t> readPermitRequest(const net::HttpRequest &request);

/// Number of the granted permit, in the answer that grants it and in the order
/// that uses it; 0 if there is none.
void writePermit(net::HttpFields &fields, std::uint64_t number);
std::uint64_t readPermit(const net::HttpFields &fields);

/// Removes all fields that only nodes exchange.
void erasePeerFields(net::HttpFields &fields);

} // namespace acaciaroad::proxy

#endif
