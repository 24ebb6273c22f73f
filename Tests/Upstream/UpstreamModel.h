/// \file
/// A simulated upstream on a virtual clock, and a driver for its Admission.

#ifndef ACACIAROAD_TESTS_UPSTREAM_UPSTREAMMODEL_H
#define ACACIAROAD_TESTS_UPSTREAM_UPSTREAMMODEL_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Support/EventLoop.h"
#include "Support/Random.h"
#include "Upstream/Admission.h"

namespace acaciaroad::tests {

/// Parameters of a simulated upstream.
struct UpstreamTraits {
  std::uint32_t Slots = 12;
  core::Duration Service = std::chrono::milliseconds(4);
  /// Service time of a fully cold upstream, relative to that of a warm one.
  double ColdFactor = 5;
  /// Number of completed orders that ends the cold start; 0 if `WarmAfter`
  /// does.
  std::uint32_t WarmAfterOrders = 0;
  core::Duration WarmAfter = std::chrono::seconds(10);
  bool IsExponential = true;
};

/// Its capacity rises from one concurrent order when cold to its slots when
/// warm. Orders beyond the capacity slow down all orders.
class UpstreamModel {
public:
  UpstreamModel(EventLoop &loop, Random &random, UpstreamTraits traits)
      : Loop(loop), Source(random), Traits(traits) {
    restart();
  }

  /// Turns cold without an announcement.
  void restart() {
    StartedAt = Loop.now();
    Completed = 0;
  }

  /// Skips the cold start.
  void warmUp() {
    StartedAt = Loop.now() - Traits.WarmAfter;
    Completed = Traits.WarmAfterOrders;
  }

  /// Returns the number of orders that it can process concurrently now.
  std::uint32_t capacity() const {
    return 1 + static_cast<std::uint32_t>((Traits.Slots - 1) * progress());
  }

  /// Processes an order; \p done receives its service time.
  void send(std::function<void(core::Duration)> done) {
    ++InFlight;
    PeakExcess =
        std::max(PeakExcess, InFlight - std::min(InFlight, capacity()));
    if (InFlight > capacity() + capacity() / 4 + 1)
      ++Overloads;
    const core::Duration time = serviceTime();
    Loop.after(time, [this, time, done = std::move(done)] {
      --InFlight;
      ++Completed;
      done(time);
    });
  }

  /// Maximum number of orders in flight beyond the capacity.
  std::uint32_t PeakExcess = 0;
  /// Number of orders that exceeded the capacity by more than a quarter and one
  /// order.
  std::uint32_t Overloads = 0;
  std::uint32_t InFlight = 0;

private:
  double progress() const {
    if (Traits.WarmAfterOrders > 0)
      return std::min(1.0,
                      static_cast<double>(Completed) / Traits.WarmAfterOrders);
    const std::chrono::duration<double> age = Loop.now() - StartedAt;
    const std::chrono::duration<double> whole = Traits.WarmAfter;
    return std::min(1.0, age / whole);
  }

  core::Duration serviceTime() {
    const double cold = 1 + (Traits.ColdFactor - 1) * (1 - progress());
    const double contention =
        std::max(1.0, static_cast<double>(InFlight) / capacity());
    const core::Duration mean(static_cast<std::int64_t>(
        static_cast<double>(Traits.Service.count()) * cold * contention));
    return Traits.IsExponential ? Source.exponential(mean) : mean;
  }

  EventLoop &Loop;
  Random &Source;
  UpstreamTraits Traits;
  core::TimePoint StartedAt{};
  std::uint32_t Completed = 0;
};

/// Results of one account's requests.
struct AccountTally {
  std::uint32_t Offered = 0;
  std::uint32_t Served = 0;
  std::uint32_t Refused = 0;
  std::vector<core::Duration> Latencies;
};

/// Offers requests of several accounts to an Admission, which sends them to an
/// UpstreamModel.
class AdmissionDriver {
public:
  AdmissionDriver(EventLoop &loop, UpstreamModel &model,
                  upstream::FairQueueLimits limits = {})
      : Loop(loop), Model(model) {
    upstream::AdmissionHooks hooks;
    hooks.OnStart = [this](upstream::Ticket id) { start(id); };
    hooks.OnRefused = [this](upstream::Ticket id, core::ErrorKind) {
      ++Tallies[Pending.at(id).Account].Refused;
      Pending.erase(id);
    };
    Admission = std::move(
        upstream::Admission::create(limits, std::move(hooks)).value());
  }

  void announce(std::uint32_t slots, std::uint64_t bootId = 1,
                bool isCold = false) {
    upstream::UpstreamAnnouncement it;
    it.BootId = bootId;
    it.Slots = slots;
    it.Connections = 120;
    it.Cold = isCold;
    Admission->setUpstream(it, Loop.now());
  }

  /// Offers one request. \p queueAs, if not empty, replaces the account in the
  /// queue.
  void offer(const std::string &account, core::Duration deadline,
             const std::string &queueAs = {}) {
    const upstream::Ticket id = NextTicket++;
    Pending[id] = {account, Loop.now()};
    AccountTally &tally = Tallies[account];
    ++tally.Offered;
    const upstream::Offer offer{id, queueAs.empty() ? account : queueAs, "any",
                                Loop.now() + deadline, std::nullopt};
    const upstream::Decision decision = Admission->offer(offer, Loop.now());
    if (decision.Status == upstream::AdmissionStatus::Start)
      start(id);
    if (decision.Status != upstream::AdmissionStatus::Refused)
      return;
    ++tally.Refused;
    Pending.erase(id);
  }

  /// Offers requests with exponentially distributed intervals until \p end.
  void stream(Random &random, const std::string &account, double perSecond,
              core::Duration deadline, core::TimePoint end,
              const std::string &queueAs = {}) {
    const core::Duration mean(static_cast<std::int64_t>(1e9 / perSecond));
    Loop.after(random.exponential(mean), [=, this, &random] {
      if (Loop.now() >= end)
        return;
      offer(account, deadline, queueAs);
      stream(random, account, perSecond, deadline, end, queueAs);
    });
  }

  std::unique_ptr<upstream::Admission> Admission;
  std::unordered_map<std::string, AccountTally> Tallies;
  /// Number of orders that were started beyond the current limit.
  std::uint32_t StartedBeyondLimit = 0;

private:
  struct PendingRequest {
    std::string Account;
    core::TimePoint Offered;
  };

  void start(upstream::Ticket id) {
    if (Admission->inFlight() > Admission->limit())
      ++StartedBeyondLimit;
    Model.send([this, id](core::Duration time) { finish(id, time); });
  }

  void finish(upstream::Ticket id, core::Duration time) {
    const PendingRequest it = Pending.at(id);
    AccountTally &tally = Tallies[it.Account];
    ++tally.Served;
    tally.Latencies.push_back(Loop.now() - it.Offered);
    Pending.erase(id);
    Admission->finished(id, upstream::Outcome::Ok, time, Loop.now());
  }

  EventLoop &Loop;
  UpstreamModel &Model;
  std::unordered_map<upstream::Ticket, PendingRequest> Pending;
  upstream::Ticket NextTicket = 1;
};

} // namespace acaciaroad::tests

#endif
