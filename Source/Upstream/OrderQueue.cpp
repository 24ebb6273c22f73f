#include "Upstream/OrderQueue.h"

#include <algorithm>

namespace acaciaroad::upstream {

namespace {

/// Inverse weight of the newest service time in the moving average, which
/// follows a change of speed within about ten orders.
constexpr int MeanSampleDivisor = 8;

/// Inverse weight in the long-term average, which covers some seconds of
/// moderate load.
constexpr int LongTermSampleDivisor = 48;

/// Percentage of the expected service time that must remain before the
/// deadline. It is below 100 because half of all orders take less than the
/// mean.
constexpr int RequiredTimePercent = 60;

/// By how much an order's expected end may exceed its target, in percent of the
/// time until the target. There is a tolerance because the expectation is a
/// mean.
constexpr int TargetTolerancePercent = 25;

/// Age from which the mean of a class is reset if it would refuse an order, so
/// that some orders are admitted and measured. While all orders of a class are
/// refused, its mean isn't updated, and it may be wrong because the process was
/// paused. Longer than the deadlines of most work.
constexpr core::Duration MaxMeanAge = std::chrono::seconds(2);

/// Lower bound for Retry-After: about two round trips to the caller.
constexpr core::Duration MinRetryDelay = std::chrono::milliseconds(50);

/// Time before its deadline at which a waiting order is refused at the latest:
/// round trips between data centres, and the interval at which the queue is
/// advanced. The entry node tells its caller at the deadline.
constexpr core::Duration RefusalLead = std::chrono::milliseconds(40);

/// Samples from which on a mean stands for itself. Service times vary several
/// times over.
constexpr std::uint32_t EnoughSamples = 16;

} // namespace

void OrderQueue::ServiceTimeMean::update(core::Duration sample, int divisor,
                                         core::TimePoint now) {
  Value = Value.count() == 0 ? sample : Value + (sample - Value) / divisor;
  UpdatedAt = now;
  Samples = std::min(Samples + 1, EnoughSamples);
}

core::Duration OrderQueue::withTypical(const ServiceTimeMean &mean) const {
  if (Typical.count() == 0)
    return mean.Value;
  return (mean.Value * mean.Samples +
          Typical * (EnoughSamples - mean.Samples)) /
         EnoughSamples;
}

core::Duration
OrderQueue::expectedServiceTime(std::string_view workClass) const {
  const auto it = ClassMeans.find(workClass);
  return withTypical(it == ClassMeans.end() ? OverallMean : it->second);
}

bool OrderQueue::resetStaleMean(std::string_view workClass,
                                core::TimePoint now) {
  const auto it = ClassMeans.find(workClass);
  const core::TimePoint updatedAt =
      it == ClassMeans.end() ? OverallMean.UpdatedAt : it->second.UpdatedAt;
  if (now - updatedAt < MaxMeanAge)
    return false;
  // Counts as measured, so that the typical service time doesn't refuse the
  // orders instead.
  ClassMeans[std::string(workClass)] = {core::Duration{}, now, EnoughSamples};
  return true;
}

core::Duration OrderQueue::estimatedWait(const QueuedOrder &order) const {
  const QueuePosition position{order.Rank, order.Deadline, order.Id};
  const auto ahead =
      std::distance(Waiting.begin(), Waiting.lower_bound(position));
  const auto slots = std::max<std::int64_t>(1, Slots);
  // On average, a slot becomes free every mean service time divided by the
  // number of slots.
  return meanServiceTime() * (ahead + 1) / slots;
}

std::optional<core::ErrorKind>
OrderQueue::refusalReason(const QueuedOrder &order,
                          core::TimePoint start) const {
  const core::TimePoint end =
      start + expectedServiceTime(order.WorkClass) * RequiredTimePercent / 100;
  if (order.Deadline <= end)
    return core::ErrorKind::DeadlineTooShort;
  if (ShutdownTime && *ShutdownTime <= end)
    return core::ErrorKind::NodeStopping;
  return std::nullopt;
}

Decision OrderQueue::offer(const QueuedOrder &order, core::TimePoint now) {
  if (Slots == 0)
    return {AdmissionStatus::Refused, core::ErrorKind::NoUpstream};
  auto reason = refusalReason(order, now);
  if (reason == core::ErrorKind::DeadlineTooShort && order.Deadline > now &&
      resetStaleMean(order.WorkClass, now))
    reason = refusalReason(order, now);
  if (reason)
    return {AdmissionStatus::Refused, *reason};
  if (Waiting.empty() && maySend(now)) {
    start(order, now);
    return {AdmissionStatus::Start, core::ErrorKind::Internal};
  }
  core::TimePoint expectedStart =
      std::max({now, PausedUntil, ColdStartLimiter.nextAllowed(now)});
  expectedStart += estimatedWait(order);
  const core::TimePoint latestEnd =
      order.Target + (order.Target - now) * TargetTolerancePercent / 100;
  if (refusalReason(order, expectedStart) ||
      latestEnd < expectedStart + expectedServiceTime(order.WorkClass))
    return {AdmissionStatus::Refused, core::ErrorKind::QueueFull};
  Waiting.insert({order.Rank, order.Deadline, order.Id});
  Orders.emplace(order.Id, order);
  return {AdmissionStatus::Queued, core::ErrorKind::Internal};
}

bool OrderQueue::maySend(core::TimePoint now) {
  const std::uint32_t slots = IsProbing ? std::min(Slots, 1U) : Slots;
  return Running.size() < slots && now >= PausedUntil &&
         ColdStartLimiter.isAllowed(now);
}

void OrderQueue::start(const QueuedOrder &order, core::TimePoint now) {
  Running.emplace(order.Id, RunningOrder{order.WorkClass, now});
  ColdStartLimiter.started(now);
}

void OrderQueue::finished(Ticket id, bool didRun, core::TimePoint now) {
  const auto it = Running.find(id);
  if (it == Running.end())
    return;
  if (didRun) {
    const core::Duration serviceTime = now - it->second.StartedAt;
    ClassMeans[it->second.WorkClass].update(serviceTime, MeanSampleDivisor,
                                            now);
    OverallMean.update(serviceTime, MeanSampleDivisor, now);
    LongTermMean.update(serviceTime, LongTermSampleDivisor, now);
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
    if (const auto reason = refusalReason(order, now)) {
      out.push_back({order.Id, AdmissionStatus::Refused, *reason});
    } else if (maySend(now)) {
      start(order, now);
      out.push_back(
          {order.Id, AdmissionStatus::Start, core::ErrorKind::Internal});
    } else if (order.Deadline - now <= RefusalLead) {
      out.push_back({order.Id, AdmissionStatus::Refused,
                     core::ErrorKind::DeadlineTooShort});
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
  for (const QueuePosition &it : Waiting)
    out.push_back({it.Id, AdmissionStatus::Refused, reason});
  Waiting.clear();
  Orders.clear();
  return out;
}

core::Duration OrderQueue::retryAfter(std::string_view workClass) const {
  const auto slots = std::max<std::int64_t>(1, Slots);
  const auto waiting = static_cast<std::int64_t>(Waiting.size());
  return std::max(MinRetryDelay, expectedServiceTime(workClass) +
                                     meanServiceTime() * waiting / slots);
}

} // namespace acaciaroad::upstream
