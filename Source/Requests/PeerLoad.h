/// \file
/// Load and health of a peer's upstream as one node estimates them.

#ifndef ACACIAROAD_REQUESTS_PEERLOAD_H
#define ACACIAROAD_REQUESTS_PEERLOAD_H

#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::requests {

/// The load of its upstream that a peer reported.
struct ReportedLoad {
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  /// Concurrency limit of the upstream; 0 means that it accepts no requests.
  std::uint32_t Limit = 0;
};

/// Combines the load that a peer reports, weighted by the report's age, with
/// this node's own requests in flight and their latency. Repeated failures
/// eject the peer (outlier detection) for a time that doubles with each
/// ejection; after it, one request at a time probes the peer.
class PeerLoad {
public:
  void reported(const ReportedLoad &load, core::TimePoint now);
  void sent();

  /// Records that a request in flight was answered after \p latency.
  void served(core::Duration latency, core::TimePoint now);

  /// Records that a request in flight did not reach the upstream, or got no
  /// answer within \p latency. Returns whether the peer is now an outlier.
  bool failed(core::Duration latency, core::TimePoint now);

  /// Records that a request in flight ended without a result that says anything
  /// about the peer's latency or health.
  void abandoned();

  /// Ejects the peer. Each ejection lasts twice as long as the one before, up
  /// to a limit.
  void eject(core::TimePoint now);

  /// Returns whether the peer is ejected at \p now and may not be probed,
  /// either because its ejection lasts or because a probe is in flight.
  bool isUnavailable(core::TimePoint now) const;

  /// Returns whether the peer is ejected or being probed.
  bool isEjected() const;

  /// Returns whether the estimated load has reached the peer's limit.
  bool isSaturated(core::TimePoint now) const;

  /// Returns whether the peer reported recently that it accepts no requests.
  bool refusesWork(core::TimePoint now) const;

  /// Returns the expected latency of one more request, in nanoseconds.
  double cost(core::TimePoint now) const;

  std::uint32_t inFlight() const;

  /// Returns the moving average of the latency as of the last sample, in
  /// nanoseconds; 0 before the first one.
  double observedLatency() const { return Latency; }

private:
  double load(core::TimePoint now) const;
  double latency(core::TimePoint now) const;
  double limit() const;

  ReportedLoad Reported;
  std::uint32_t OwnInFlightAtReport = 0;
  core::TimePoint ReportedAt{};
  bool HasReport = false;
  std::uint32_t OwnInFlight = 0;
  double Latency = 0;
  core::TimePoint LatencyAt{};
  std::uint32_t FailuresInRow = 0;
  std::uint32_t Ejections = 0;
  bool Ejected = false;
  core::TimePoint EjectedUntil{};
};

} // namespace acaciaroad::requests

#endif
