/// \file
/// Header fields between nodes.

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

/// What the entry node tells the node beside the upstream.
struct ForwardFields {
  std::string_view WorkClass;
  std::int32_t Rank = 0;
  routing::WorkKind Kind = routing::WorkKind::AtMostOnce;
  /// Time left in which an answer is worth most.
  core::Duration TargetLeft{};
};

void writeForward(net::HttpFields &fields, const ForwardFields &forward);
ForwardFields readForward(const net::HttpFields &fields);

/// What the node beside the upstream tells the entry node.
struct ForwardOutcome {
  requests::AttemptOutcome Outcome = requests::AttemptOutcome::SentNoAnswer;
  /// Unless the upstream has answered.
  core::ErrorKind Reason = core::ErrorKind::OutcomeUnknown;
  /// The upstream was asked, even if it refused.
  bool ReachedUpstream = false;
  core::Duration RetryAfter{};
  /// Node that holds the order's key now, if the asked one knows better.
  std::string Holder;
  requests::ReportedLoad Load;
};

void writeOutcome(net::HttpFields &fields, const ForwardOutcome &outcome);
/// An answer without the fields has an unknown outcome.
ForwardOutcome readOutcome(const net::HttpFields &fields);

/// Asks another node whether a body of \p bytes may come.
net::HttpRequest makePermitRequest(std::uint64_t bytes);
/// Returns the bytes that are asked for, if the request asks for room.
std::optional<std::uint64_t> readPermitRequest(const net::HttpRequest &request);

/// The number of the room that was given, in the answer to the question and in
/// the order that uses it; 0 if none.
void writePermit(net::HttpFields &fields, std::uint64_t number);
std::uint64_t readPermit(const net::HttpFields &fields);

/// Removes all fields that only nodes may see.
void erasePeerFields(net::HttpFields &fields);

} // namespace acaciaroad::proxy

#endif
