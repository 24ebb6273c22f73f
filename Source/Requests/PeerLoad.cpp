#include "Requests/PeerLoad.h"

#include <algorithm>
#include <cmath>

namespace acaciaroad::requests {

namespace {

/// Time constant with which a report loses weight.
constexpr double ReportSeconds = 1;
/// An older report does not keep a peer closed.
constexpr core::Duration ReportLifetime = std::chrono::seconds(5);
/// Time constant with which an old latency loses weight, so that a slow peer is
/// tried again.
constexpr double LatencySeconds = 5;
constexpr double RiseWeight = 0.3;
constexpr double FallWeight = 0.1;
/// Assumed before the first latency, in nanoseconds.
constexpr double UnknownLatency = 1e6;
/// Assumed for a peer that has not reported yet.
constexpr double UnknownLimit = 1;
constexpr std::uint32_t OutlierFailures = 5;
constexpr core::Duration FirstEjection = std::chrono::seconds(1);
constexpr std::uint32_t LargestDoublings = 5;

double decay(core::Duration age, double seconds) {
  const std::chrono::duration<double> elapsed = age;
  return std::exp(-std::max(0.0, elapsed.count()) / seconds);
}

} // namespace

void PeerLoad::reported(const ReportedLoad &load, core::TimePoint now) {
  Reported = load;
  OwnAtReport = Own;
  ReportedAt = now;
  HasReport = true;
}

void PeerLoad::sent() { ++Own; }

void PeerLoad::served(core::Duration latency, core::TimePoint now) {
  abandoned();
  FailuresInRow = 0;
  Ejections = Ejected ? Ejections : 0;
  Ejected = false;
  const auto ns = static_cast<double>(latency.count());
  const double before = Latency == 0 ? ns : this->latency(now);
  const double weight = ns > before ? RiseWeight : FallWeight;
  Latency = before + (ns - before) * weight;
  LatencyAt = now;
}

bool PeerLoad::failed(core::Duration latency, core::TimePoint now) {
  abandoned();
  // An answer would have taken longer still.
  const auto ns = static_cast<double>(latency.count());
  if (ns > this->latency(now)) {
    Latency = ns;
    LatencyAt = now;
  }
  ++FailuresInRow;
  // One failed probe ends the probing.
  return Ejected || FailuresInRow >= OutlierFailures;
}

void PeerLoad::abandoned() {
  if (Own > 0)
    --Own;
}

void PeerLoad::eject(core::TimePoint now) {
  Ejected = true;
  FailuresInRow = 0;
  OutUntil = now + FirstEjection * (1 << std::min(Ejections, LargestDoublings));
  ++Ejections;
}

bool PeerLoad::isOut(core::TimePoint now) const {
  return Ejected && (now < OutUntil || Own > 0);
}

bool PeerLoad::isEjected() const { return Ejected; }

bool PeerLoad::isBusy(core::TimePoint now) const {
  return load(now) >= limit();
}

bool PeerLoad::isClosed(core::TimePoint now) const {
  return HasReport && Reported.Limit == 0 && now - ReportedAt < ReportLifetime;
}

double PeerLoad::cost(core::TimePoint now) const {
  return latency(now) * (1 + load(now)) / limit();
}

std::uint32_t PeerLoad::inFlight() const { return Own; }

double PeerLoad::load(core::TimePoint now) const {
  const std::uint32_t reported = Reported.InFlight + Reported.Queued;
  const std::uint32_t others = reported - std::min(reported, OwnAtReport);
  return Own + others * decay(now - ReportedAt, ReportSeconds);
}

double PeerLoad::latency(core::TimePoint now) const {
  if (Latency == 0)
    return UnknownLatency;
  return Latency * decay(now - LatencyAt, LatencySeconds);
}

double PeerLoad::limit() const {
  return HasReport ? std::max<double>(1, Reported.Limit) : UnknownLimit;
}

} // namespace acaciaroad::requests
