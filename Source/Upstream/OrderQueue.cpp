#include "Upstream/OrderQueue.h"

#include <algorithm>

namespace acaciaroad::upstream {

namespace {

/// Weight of the newest service time in the mean; follows a change of speed
/// within about ten orders.
constexpr int MeanWeight = 8;

/// The same over some seconds of moderate load.
constexpr int SteadyWeight = 48;

/// An order is let in if this share of its expected time is left, in percent:
/// half of all orders take less than the mean.
constexpr int NeededPercent = 60;

/// A waiting order may be expected to end later than its target by this part of
/// the target: the expectation is a mean.
constexpr int LatePercent = 25;

/// A class that is refused altogether teaches nothing. Its mean may come from a
/// pause of the process, so some orders are let in after this time; above the
/// deadlines of most work.
constexpr core::Duration MeanLifetime = std::chrono::seconds(2);

/// The shortest time after which a refused caller is asked to come back; about
/// two round trips to it.
constexpr core::Duration ShortestRetry = std::chrono::milliseconds(50);

void learn(core::Duration &mean, core::Duration sample, int weight) {
  mean = mean.count() == 0 ? sample : mean + (sample - mean) / weight;
}

} // namespace

core::Duration OrderQueue::expected(std::string_view workClass) const {
  const auto it = Means.find(workClass);
  return it == Means.end() ? OverallMean : it->second.Service;
}

bool OrderQueue::forgetStale(std::string_view workClass, core::TimePoint now) {
  const auto it = Means.find(workClass);
  const core::TimePoint learnt =
      it == Means.end() ? LearntAt : it->second.LearntAt;
  if (now - learnt < MeanLifetime)
    return false;
  Means[std::string(workClass)] = {core::Duration{}, now};
  return true;
}

core::Duration OrderQueue::waitBefore(const QueuedOrder &order) const {
  const Place place{order.Rank, order.Deadline, order.Id};
  const auto ahead = std::distance(Waiting.begin(), Waiting.lower_bound(place));
  const auto slots = std::max<std::int64_t>(1, Slots);
  // A slot becomes free each mean time over the number of slots.
  return OverallMean * (ahead + 1) / slots;
}

std::optional<core::ErrorKind>
OrderQueue::whyLate(const QueuedOrder &order, core::TimePoint start) const {
  const core::TimePoint end =
      start + expected(order.WorkClass) * NeededPercent / 100;
  if (order.Deadline <= end)
    return core::ErrorKind::DeadlineTooShort;
  if (End && *End <= end)
    return core::ErrorKind::NodeStopping;
  return std::nullopt;
}

Decision OrderQueue::offer(const QueuedOrder &order, core::TimePoint now) {
  if (Slots == 0)
    return {Verdict::Refused, core::ErrorKind::NoUpstream};
  auto reason = whyLate(order, now);
  if (reason == core::ErrorKind::DeadlineTooShort && order.Deadline > now &&
      forgetStale(order.WorkClass, now))
    reason = whyLate(order, now);
  if (reason)
    return {Verdict::Refused, *reason};
  if (Running.size() < Slots && Waiting.empty() && Rate.mayStart(now)) {
    start(order, now);
    return {Verdict::Start, core::ErrorKind::Internal};
  }
  core::TimePoint begin = std::max(now, Rate.nextStart(now));
  begin += waitBefore(order);
  const core::TimePoint latest =
      order.Target + (order.Target - now) * LatePercent / 100;
  if (whyLate(order, begin) || latest < begin + expected(order.WorkClass))
    return {Verdict::Refused, core::ErrorKind::QueueFull};
  Waiting.insert({order.Rank, order.Deadline, order.Id});
  Orders.emplace(order.Id, order);
  return {Verdict::Queued, core::ErrorKind::Internal};
}

void OrderQueue::start(const QueuedOrder &order, core::TimePoint now) {
  Running.emplace(order.Id, Started{order.WorkClass, now});
  Rate.started(now);
}

void OrderQueue::finished(Ticket id, bool didRun, core::TimePoint now) {
  const auto it = Running.find(id);
  if (it == Running.end())
    return;
  if (didRun) {
    const core::Duration taken = now - it->second.At;
    Mean &mean = Means[it->second.WorkClass];
    learn(mean.Service, taken, MeanWeight);
    mean.LearntAt = now;
    LearntAt = now;
    learn(OverallMean, taken, MeanWeight);
    learn(SteadyMean, taken, SteadyWeight);
  }
  Running.erase(it);
}

bool OrderQueue::cancel(Ticket id) {
  const auto it = Orders.find(id);
  if (it == Orders.end())
    return false;
  Waiting.erase({it->second.Rank, it->second.Deadline, id});
  Orders.erase(it);
  return true;
}

std::vector<Dequeued> OrderQueue::advance(core::TimePoint now) {
  std::vector<Dequeued> out;
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    const QueuedOrder &order = Orders.at(it->Id);
    if (const auto reason = whyLate(order, now)) {
      out.push_back({order.Id, Verdict::Refused, *reason});
    } else if (Running.size() < Slots && Rate.mayStart(now)) {
      start(order, now);
      out.push_back({order.Id, Verdict::Start, core::ErrorKind::Internal});
    } else {
      ++it;
      continue;
    }
    Orders.erase(it->Id);
    it = Waiting.erase(it);
  }
  return out;
}

std::vector<Dequeued> OrderQueue::refuseAll(core::ErrorKind reason) {
  std::vector<Dequeued> out;
  for (const Place &it : Waiting)
    out.push_back({it.Id, Verdict::Refused, reason});
  Waiting.clear();
  Orders.clear();
  return out;
}

core::Duration OrderQueue::retryAfter(std::string_view workClass) const {
  const auto slots = std::max<std::int64_t>(1, Slots);
  const auto waiting = static_cast<std::int64_t>(Waiting.size());
  return std::max(ShortestRetry,
                  expected(workClass) + OverallMean * waiting / slots);
}

} // namespace acaciaroad::upstream
