/// \file
/// Admission queue for the orders of one upstream.

#ifndef ACACIAROAD_UPSTREAM_ORDERQUEUE_H
#define ACACIAROAD_UPSTREAM_ORDERQUEUE_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Core/ErrorKind.h"
#include "Upstream/Offer.h"
#include "Upstream/SlidingWindowLimiter.h"

namespace acaciaroad::upstream {

/// The properties of an order that decide its place in the queue.
struct QueuedOrder {
  Ticket Id = 0;
  std::string WorkClass;
  /// Orders with a lower rank are started first.
  std::int32_t Rank = 0;
  /// The caller no longer accepts an answer after this time.
  core::TimePoint Deadline{};
  /// The time by which the answer is wanted; not after the deadline.
  core::TimePoint Target{};
};

/// An order that was removed from the queue, to be started or refused.
struct Dequeued {
  Ticket Id = 0;
  AdmissionStatus Status = AdmissionStatus::Refused;
  core::ErrorKind Reason = core::ErrorKind::QueueFull;
};

/// Admits orders to one upstream up to its number of slots and, during a cold
/// start, up to a rate limit. Other orders wait, sorted by rank and then by
/// deadline. An order is refused, on arrival or while it waits, if it can't
/// meet its deadline given the mean service time of its work class. It is also
/// refused on arrival if it is expected to end well after its target: under
/// overload, the slot goes to an order that can still be in time. Does no I/O
/// and reads no clock; the caller serialises all calls.
class OrderQueue {
public:
  /// Sets the maximum number of running orders; 0 refuses all orders.
  void setSlots(std::uint32_t slots) { Slots = slots; }

  /// Sets the maximum number of orders per second during a cold start; 0 means
  /// no limit.
  void setColdStartRate(std::uint32_t perSecond) {
    ColdStartLimiter.setLimit(perSecond);
  }

  /// Sets the mean service time on the other nodes of the service, 0 if
  /// unknown. It stands in for the own mean until enough orders have been
  /// measured: a node that is given busy keys may have seen only a few, short
  /// ones.
  void setTypicalServiceTime(core::Duration typical) { Typical = typical; }

  /// Announces that the node stops at \p end. Orders that can't end by then are
  /// refused.
  void setShutdownTime(core::TimePoint end) { ShutdownTime = end; }

  /// Starts no order before \p time.
  void pauseUntil(core::TimePoint time) { PausedUntil = time; }

  /// Sets whether at most one order may run, since the upstream has not
  /// answered any lately.
  void setProbing(bool isProbing) { IsProbing = isProbing; }

  /// Decides whether a new order starts, waits or is refused.
  Decision offer(const QueuedOrder &order, core::TimePoint now);

  /// Reports that a started order ended. \p didRun is false if the upstream
  /// rejected it; its time then doesn't count as service time.
  void finished(Ticket id, bool didRun, core::TimePoint now);

  /// Removes a waiting order. Returns false if no such order waits.
  bool cancel(Ticket id);

  /// Returns the waiting orders that start or are refused now. Must be called
  /// after each `finished`, and frequently while orders wait.
  std::vector<Dequeued> advance(core::TimePoint now);

  /// Empties the queue; returns all waiting orders as refused for \p reason.
  std::vector<Dequeued> refuseAll(core::ErrorKind reason);

  /// Returns the delay after which a retry of an order of \p workClass is
  /// likely to end in time.
  core::Duration retryAfter(std::string_view workClass) const;

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(Running.size());
  }
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(Waiting.size());
  }
  std::uint32_t slots() const { return Slots; }
  /// Returns the mean service time of all work classes; 0 before the first
  /// order if no typical one is known.
  core::Duration meanServiceTime() const { return withTypical(OverallMean); }
  /// Returns the mean service time over more orders, which short slowdowns
  /// affect less.
  core::Duration longTermServiceTime() const {
    return withTypical(LongTermMean);
  }

private:
  struct RunningOrder {
    std::string WorkClass;
    core::TimePoint StartedAt{};
  };
  struct ServiceTimeMean {
    core::Duration Value{};
    core::TimePoint UpdatedAt{};
    /// Number of measured orders, up to the number from which on the mean
    /// stands for itself.
    std::uint32_t Samples = 0;

    /// \p divisor is the inverse weight of the sample.
    void update(core::Duration sample, int divisor, core::TimePoint now);
  };
  struct QueuePosition {
    std::int32_t Rank = 0;
    core::TimePoint Deadline{};
    Ticket Id = 0;
    // clang-tidy 14 takes the 0 in rewritten comparisons for a pointer.
    auto operator<=>(const QueuePosition &) const = default; // NOLINT
  };

  void start(const QueuedOrder &order, core::TimePoint now);
  /// Returns whether there is a slot for another order, and it may start now.
  bool maySend(core::TimePoint now);
  /// Returns the mean with the typical service time in place of the samples
  /// that are missing.
  core::Duration withTypical(const ServiceTimeMean &mean) const;
  core::Duration expectedServiceTime(std::string_view workClass) const;
  /// Resets the mean service time of the class if it is too old to refuse all
  /// orders of the class by it. Returns whether it was reset.
  bool resetStaleMean(std::string_view workClass, core::TimePoint now);
  /// Returns the estimated time that \p order waits for a slot.
  core::Duration estimatedWait(const QueuedOrder &order) const;
  /// Returns the reason to refuse an order that would start at \p start, or
  /// nothing if it can end in time.
  std::optional<core::ErrorKind> refusalReason(const QueuedOrder &order,
                                               core::TimePoint start) const;

  std::uint32_t Slots = 0;
  core::TimePoint PausedUntil{};
  bool IsProbing = false;
  std::optional<core::TimePoint> ShutdownTime;
  SlidingWindowLimiter ColdStartLimiter;
  std::map<Ticket, RunningOrder> Running;
  std::set<QueuePosition> Waiting;
  std::map<Ticket, QueuedOrder> Orders;
  /// Mean service time of each work class.
  std::map<std::string, ServiceTimeMean, std::less<>> ClassMeans;
  ServiceTimeMean OverallMean;
  ServiceTimeMean LongTermMean;
  core::Duration Typical{};
};

} // namespace acaciaroad::upstream

#endif
