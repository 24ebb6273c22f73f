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

namespace acaciaroad::proxy {

/// Only the traffic thread writes and reads them.
struct TrafficCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Abandoned = 0;
  /// By net::UnansweredCause, requests lost with their connection.
  std::array<std::uint64_t, net::UnansweredCauseCount> Unanswered{};
  std::uint64_t Retries = 0;
  std::uint64_t OrdersSent = 0;
  std::uint64_t UpstreamConnects = 0;
  /// By core::ErrorKind, what callers were told.
  std::array<std::uint64_t, core::ErrorKindCount> Errors{};
  /// From a request's arrival to its answer.
  administration::LatencyHistogram CallerLatency;
  /// From the sending of an order to its answer.
  administration::LatencyHistogram UpstreamLatency;
};

/// Returns the counters as lines of text in the Prometheus format.
std::string render(const TrafficCounters &counters);

} // namespace acaciaroad::proxy

#endif
