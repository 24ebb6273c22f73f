/// \file
/// Decides which orders one upstream runs, and which are refused.

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

/// An order as the queue sees it.
struct QueuedOrder {
  Ticket Id = 0;
  std::string WorkClass;
  /// Lower goes first.
  std::int32_t Rank = 0;
  /// The answer is worthless after it.
  core::TimePoint Deadline{};
  /// The answer is worth most up to it; not after the deadline.
  core::TimePoint Target{};
};

/// An order that left the queue.
struct Dequeued {
  Ticket Id = 0;
  AdmissionStatus Status = AdmissionStatus::Refused;
  core::ErrorKind Reason = core::ErrorKind::QueueFull;
};

/// Keeps the orders of one upstream within its slots and, while it is cold,
/// within its rate. Others wait by rank, then by deadline, for as long as they
/// can still end in time by what their class of work usually takes; an order
/// that cannot is refused on arrival. An order that would wait until it ends
/// well after its target is refused too: while more comes than can be done, the
/// slot serves one that is in time. Pure; the caller serialises all calls.
class OrderQueue {
public:
  /// Orders that may run at once; 0 takes none.
  void setSlots(std::uint32_t slots) { Slots = slots; }

  /// Requests a second while the upstream is cold; 0 once it is warm.
  void setColdStartRate(std::uint32_t perSecond) {
    ColdStartLimiter.setLimit(perSecond);
  }

  /// The node stops at \p end: orders that can't end by then are refused.
  void setShutdownTime(core::TimePoint end) { ShutdownTime = end; }

  /// Returns Start, Queued or Refused.
  Decision offer(const QueuedOrder &order, core::TimePoint now);

  /// A started order ended. \p didRun is false if the upstream refused it.
  void finished(Ticket id, bool didRun, core::TimePoint now);

  /// Takes a waiting order out; returns false if it does not wait.
  bool cancel(Ticket id);

  /// Returns what starts or is refused now. To be called after each end, and
  /// often while anything waits.
  std::vector<Dequeued> advance(core::TimePoint now);

  /// Returns all that waits, refused for \p reason.
  std::vector<Dequeued> refuseAll(core::ErrorKind reason);

  /// Returns the time after which an order of \p workClass would be likely to
  /// end in time.
  core::Duration retryAfter(std::string_view workClass) const;

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(Running.size());
  }
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(Waiting.size());
  }
  std::uint32_t slots() const { return Slots; }
  /// Mean service time of all classes; 0 before the first.
  core::Duration meanServiceTime() const { return OverallMean; }
  /// The same over a longer time: work is slower for moments now and then.
  core::Duration longTermServiceTime() const { return LongTermMean; }

private:
  struct RunningOrder {
    std::string WorkClass;
    core::TimePoint StartedAt{};
  };
  struct ServiceTimeMean {
    core::Duration Value{};
    core::TimePoint UpdatedAt{};
  };
  struct QueuePosition {
    std::int32_t Rank = 0;
    core::TimePoint Deadline{};
    Ticket Id = 0;
    // clang-tidy 14 takes the 0 in rewritten comparisons for a pointer.
    auto operator<=>(const QueuePosition &) const = default; // NOLINT
  };

  void start(const QueuedOrder &order, core::TimePoint now);
  core::Duration expectedServiceTime(std::string_view workClass) const;
  /// Forgets what the class takes if that was learnt too long ago to refuse
  /// all of it; returns whether it was.
  bool resetStaleMean(std::string_view workClass, core::TimePoint now);
  core::Duration estimatedWait(const QueuedOrder &order) const;
  /// Returns why an order that starts at \p start can't end in time, if so.
  std::optional<core::ErrorKind> refusalReason(const QueuedOrder &order,
                                               core::TimePoint start) const;

  std::uint32_t Slots = 0;
  std::optional<core::TimePoint> ShutdownTime;
  SlidingWindowLimiter ColdStartLimiter;
  std::map<Ticket, RunningOrder> Running;
  std::set<QueuePosition> Waiting;
  std::map<Ticket, QueuedOrder> Orders;
  /// Mean service time of each class of work.
  std::map<std::string, ServiceTimeMean, std::less<>> ClassMeans;
  core::Duration OverallMean{};
  core::TimePoint OverallUpdatedAt{};
  core::Duration LongTermMean{};
};

} // namespace acaciaroad::upstream

#endif
