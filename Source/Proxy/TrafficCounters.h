/// \file
/// Counters of the traffic thread.

#ifndef ACACIAROAD_PROXY_TRAFFICCOUNTERS_H
#define ACACIAROAD_PROXY_TRAFFICCOUNTERS_H

#include <array>
#include <cstdint>
#include <string>

#include "Administration/LatencyHistogram.h"
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
