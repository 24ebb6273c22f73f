#include "Requests/PeerLoad.h"

#include <algorithm>
#include <cmath>

namespace acaciaroad::requests {

namespace {

/// Time constant of the exponential decay of a report's weight.
constexpr double ReportTimeConstantSeconds = 1;
/// Time after which a report that a peer accepts no requests is ignored.
constexpr core::Duration RefusalLifetime = std::chrono::seconds(5);
/// Time constant of the exponential decay of the latency, so that a slow peer
/// is tried again.
constexpr double LatencyTimeConstantSeconds = 5;
/// Weights of a new sample in the moving average of the latency, if it is above
/// or below the average.
constexpr double RisingLatencyWeight = 0.3;
constexpr double FallingLatencyWeight = 0.1;
/// Assumed until the first latency sample.
constexpr double DefaultLatencyNanoseconds = 1e6;
/// Assumed for a peer that has not reported yet.
constexpr double DefaultLimit = 1;
constexpr std::uint32_t OutlierFailureThreshold = 5;
constexpr core::Duration FirstEjection = std::chrono::seconds(1);
constexpr std::uint32_t MaxEjectionDoublings = 5;

double decay(core::Duration age, double seconds) {
  const std::chrono::duration<double> elapsed = age;
  return std::exp(-std::max(0.0, elapsed.count()) / seconds);
}

} // namespace

void PeerLoad::reported(const ReportedLoad &load, core::TimePoint now) {
  Reported = load;
  OwnInFlightAtReport = OwnInFlight;
  ReportedAt = now;
  HasReport = true;
}

void PeerLoad::sent() { ++OwnInFlight; }

void PeerLoad::served(core::Duration latency, core::TimePoint now) {
  abandoned();
  FailuresInRow = 0;
  Ejections = Ejected ? Ejections : 0;
  Ejected = false;
  const auto ns = static_cast<double>(latency.count());
  const double before = Latency == 0 ? ns : this->latency(now);
  const double weight =
      ns > before ? RisingLatencyWeight : FallingLatencyWeight;
  Latency = before + (ns - before) * weight;
  LatencyAt = now;
}

bool PeerLoad::failed(core::Duration latency, core::TimePoint now) {
  abandoned();
  // The answer would have taken at least this long.
  const auto ns = static_cast<double>(latency.count());
  if (ns > this->latency(now)) {
    Latency = ns;
    LatencyAt = now;
  }
  ++FailuresInRow;
  // A single failed probe ejects the peer again.
  return Ejected || FailuresInRow >= OutlierFailureThreshold;
}

void PeerLoad::abandoned() {
  if (OwnInFlight > 0)
    --OwnInFlight;
}

void PeerLoad::eject(core::TimePoint now) {
  Ejected = true;
  FailuresInRow = 0;
  EjectedUntil =
      now + FirstEjection * (1 << std::min(Ejections, MaxEjectionDoublings));
  ++Ejections;
}

bool PeerLoad::isUnavailable(core::TimePoint now) const {
  return Ejected && (now < EjectedUntil || OwnInFlight > 0);
}

bool PeerLoad::isEjected() const { return Ejected; }

bool PeerLoad::isSaturated(core::TimePoint now) const {
  return load(now) >= limit();
}

bool PeerLoad::refusesWork(core::TimePoint now) const {
  return HasReport && Reported.Limit == 0 && now - ReportedAt < RefusalLifetime;
}

double PeerLoad::cost(core::TimePoint now) const {
  return latency(now) * (1 + load(now)) / limit();
}

std::uint32_t PeerLoad::inFlight() const { return OwnInFlight; }

double PeerLoad::load(core::TimePoint now) const {
  const std::uint32_t reported = Reported.InFlight + Reported.Queued;
  const std::uint32_t others =
      reported - std::min(reported, OwnInFlightAtReport);
  return OwnInFlight +
         others * decay(now - ReportedAt, ReportTimeConstantSeconds);
}

double PeerLoad::latency(core::TimePoint now) const {
  if (Latency == 0)
    return DefaultLatencyNanoseconds;
  return Latency * decay(now - LatencyAt, LatencyTimeConstantSeconds);
}

double PeerLoad::limit() const {
  return HasReport ? std::max<double>(1, Reported.Limit) : DefaultLimit;
}

} // namespace acaciaroad::requests
