/// \file
/// How many large bodies may come in through the node's network at a time.

#ifndef ACACIAROAD_UPSTREAM_TRANSFERGATE_H
#define ACACIAROAD_UPSTREAM_TRANSFERGATE_H

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "Core/Clock.h"
#include "Upstream/Offer.h"

namespace acaciaroad::upstream {

/// Answers the load pattern of uploads that fill a narrow network: all of them
/// would be late, and so would every small message behind them. Bodies are let
/// in as long as those under way take less than a tenth of a second by the rate
/// that was seen; a few wait, further ones are refused at once and can go
/// elsewhere. Pure; the caller serialises all calls.
class TransferGate {
public:
  /// Returns Start, Queued or Refused for a body of \p bytes.
  AdmissionStatus ask(Ticket id, std::uint64_t bytes, core::TimePoint now);

  /// The body has come in whole, or its sender has given up.
  void finished(Ticket id, core::TimePoint now);
  void cancel(Ticket id);

  /// Returns the waiting bodies that may come now. To be called often while any
  /// waits.
  std::vector<Ticket> advance(core::TimePoint now);

  bool isWaiting() const { return !Waiting.empty(); }

private:
  struct Transfer {
    std::uint64_t Bytes = 0;
    /// Bytes under way with it when it began.
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
  /// Highest rate seen, bytes a second, and when.
  double PeakRate = 0;
  core::TimePoint PeakRateAt{};
};

} // namespace acaciaroad::upstream

#endif
