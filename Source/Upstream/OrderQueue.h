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
  Verdict What = Verdict::Refused;
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
  void setColdRate(std::uint32_t perSecond) { Rate.setBound(perSecond); }

  /// The node stops at \p end: orders that can't end by then are refused.
  void endAt(core::TimePoint end) { End = end; }

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
  core::Duration meanService() const { return OverallMean; }
  /// The same over a longer time: work is slower for moments now and then.
  core::Duration steadyService() const { return SteadyMean; }

private:
  struct Started {
    std::string WorkClass;
    core::TimePoint At{};
  };
  struct Mean {
    core::Duration Service{};
    core::TimePoint LearntAt{};
  };
  struct Place {
    std::int32_t Rank = 0;
    core::TimePoint Deadline{};
    Ticket Id = 0;
    // clang-tidy 14 takes the 0 in rewritten comparisons for a pointer.
    auto operator<=>(const Place &) const = default; // NOLINT
  };

  void start(const QueuedOrder &order, core::TimePoint now);
  core::Duration expected(std::string_view workClass) const;
  /// Forgets what the class takes if that was learnt too long ago to refuse
  /// all of it; returns whether it was.
  bool forgetStale(std::string_view workClass, core::TimePoint now);
  core::Duration waitBefore(const QueuedOrder &order) const;
  /// Returns why an order that starts at \p start can't end in time, if so.
  std::optional<core::ErrorKind> whyLate(const QueuedOrder &order,
                                         core::TimePoint start) const;

  std::uint32_t Slots = 0;
  std::optional<core::TimePoint> End;
  SlidingWindowLimiter Rate;
  std::map<Ticket, Started> Running;
  std::set<Place> Waiting;
  std::map<Ticket, QueuedOrder> Orders;
  /// Mean service time of each class of work.
  std::map<std::string, Mean, std::less<>> Means;
  core::Duration OverallMean{};
  core::TimePoint LearntAt{};
  core::Duration SteadyMean{};
};

} // namespace acaciaroad::upstream

#endif
