/// \file
/// What one node knows of the load of a peer's upstream.

#ifndef ACACIAROAD_REQUESTS_PEERLOAD_H
#define ACACIAROAD_REQUESTS_PEERLOAD_H

#include <cstdint>

#include "Core/Clock.h"

namespace acaciaroad::requests {

/// The load that a peer reported of its upstream.
struct ReportedLoad {
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  /// Orders that the peer would have in flight; 0 takes no work.
  std::uint32_t Limit = 0;
};

/// Joins a peer's reports, which grow old, with what this node observes itself:
/// its own requests under way and their latency. Repeated failures eject the
/// peer for a time that doubles; then one request at a time probes it.
class PeerLoad {
public:
  void reported(const ReportedLoad &load, core::TimePoint now);
  void sent();

  /// A request under way ended with an answer or a refusal as not run.
  void served(core::Duration latency, core::TimePoint now);

  /// A request under way ended without having reached the upstream, or without
  /// its answer after \p latency. Returns whether the peer is now an outlier.
  bool failed(core::Duration latency, core::TimePoint now);

  /// A request under way was given up; says nothing about the peer.
  void abandoned();

  /// Takes the peer out until the length of its ejection has passed.
  void eject(core::TimePoint now);

  /// Returns whether the peer is out at \p now and takes not even a probe.
  bool isUnavailable(core::TimePoint now) const;

  /// Returns whether the peer is ejected, also while it is probed.
  bool isEjected() const;

  /// Returns whether all that the peer would take is in use.
  bool isSaturated(core::TimePoint now) const;

  /// Returns whether the peer reported lately that it takes no work.
  bool refusesWork(core::TimePoint now) const;

  /// Returns the expected latency of one more request, in nanoseconds; smaller
  /// is better.
  double cost(core::TimePoint now) const;

  std::uint32_t inFlight() const;

  /// Returns the latency observed last, in nanoseconds; 0 before the first.
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
