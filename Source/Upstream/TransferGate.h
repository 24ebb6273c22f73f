/// \file
/// Admission control for large request bodies, by network bandwidth.

#ifndef ACACIAROAD_UPSTREAM_TRANSFERGATE_H
#define ACACIAROAD_UPSTREAM_TRANSFERGATE_H

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "Core/Clock.h"
#include "Upstream/Offer.h"

namespace acaciaroad::upstream {

/// Prevents concurrent uploads from saturating a slow network, which would
/// delay all of them and all small messages behind them. Bodies are admitted as
/// long as those in progress take less than a tenth of a second at the observed
/// rate. A few others wait; the rest are refused immediately and can be sent to
/// another node. Does no I/O and reads no clock; the caller serialises all
/// calls.
class TransferGate {
public:
  /// Decides whether a body of \p bytes starts, waits or is refused.
  AdmissionStatus ask(Ticket id, std::uint64_t bytes, core::TimePoint now);

  /// Reports that a body was received completely.
  void finished(Ticket id, core::TimePoint now);

  /// Removes a body that its sender has cancelled.
  void cancel(Ticket id);

  /// Returns the waiting bodies that start now. Must be called frequently while
  /// bodies wait.
  std::vector<Ticket> advance(core::TimePoint now);

  bool isWaiting() const { return !Waiting.empty(); }

private:
  struct Transfer {
    std::uint64_t Bytes = 0;
    /// Bytes of all bodies in progress when it started, including its own.
    std::uint64_t BytesInFlight = 0;
    core::TimePoint StartedAt{};
  };
  struct Entry {
    Ticket Id = 0;
    std::uint64_t Bytes = 0;
  };

  double rate(core::TimePoint now) const;
  std::uint64_t capacityFor(core::Duration time, core::TimePoint now) const;
  std::uint64_t runningBytes() const;
  std::uint64_t waitingBytes() const;
  void expire(core::TimePoint now);
  void start(const Entry &entry, core::TimePoint now);

  std::map<Ticket, Transfer> Running;
  std::deque<Entry> Waiting;
  /// Highest observed rate, in bytes per second, and when it was observed.
  double PeakRate = 0;
  core::TimePoint PeakRateAt{};
};

} // namespace acaciaroad::upstream

#endif
