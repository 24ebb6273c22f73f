/// \file
/// Counters of the traffic thread.

#ifndef ACACIAROAD_PROXY_TRAFFICCOUNTERS_H
#define ACACIAROAD_PROXY_TRAFFICCOUNTERS_H

#include <array>
#include <cstdint>
#include <string>

#include "Administration/LatencyHistogram.h"
#include "Core/Clock.h"
#include "Core/ErrorKind.h"
#include "Net/HttpServer.h"
#include "Rollouts/VersionTraffic.h"

namespace acaciaroad::proxy {

/// Only the traffic thread writes and reads them.
struct TrafficCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Abandoned = 0;
  /// Requests lost with their connection, by net::UnansweredCause.
  std::array<std::uint64_t, net::UnansweredCauseCount> Unanswered{};
  std::uint64_t Retries = 0;
  std::uint64_t OrdersSent = 0;
  std::uint64_t UpstreamConnects = 0;
  /// Calls that the own upstream made for orders that it ran.
  std::uint64_t NestedCalls = 0;
  /// Pauses of the upstream's orders because it answered none.
  std::uint64_t UpstreamPauses = 0;
  /// Orders refused because the network can't carry their answers in time.
  std::uint64_t BandwidthRefusals = 0;
  /// What the traffic loop's next turn has to expect (upstream::LoopDelay).
  core::Duration LoopDelay{};
  /// Errors that callers got, by core::ErrorKind.
  std::array<std::uint64_t, core::ErrorKindCount> Errors{};
  /// From the arrival of a request to its answer.
  administration::LatencyHistogram CallerLatency;
  /// From sending an order to the upstream to its answer.
  administration::LatencyHistogram UpstreamLatency;
};

/// Returns the counters in the Prometheus text format.
std::string render(const TrafficCounters &counters);

/// Returns the shares and the answers of the versions of services with a
/// roll-out in the Prometheus text format; empty without one.
std::string render(const rollouts::VersionTraffic &versions);

} // namespace acaciaroad::proxy

#endif
