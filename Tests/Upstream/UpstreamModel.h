/// \file
/// An upstream on a virtual clock, driven through an Admission.

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

/// How an upstream behaves.
struct UpstreamTraits {
  std::uint32_t Slots = 12;
  core::Duration Service = std::chrono::milliseconds(4);
  /// Service time of a fully cold upstream over that of a warm one.
  double ColdFactor = 5;
  /// Completed orders that end the cold start; 0 if time ends it.
  std::uint32_t WarmAfterOrders = 0;
  core::Duration WarmAfter = std::chrono::seconds(10);
  bool IsExponential = true;
};

/// Bears one order when fully cold and its slots when warm. Orders beyond what
/// it bears slow all of them down.
class UpstreamModel {
public:
  UpstreamModel(EventLoop &loop, Random &random, UpstreamTraits traits)
      : Loop(loop), Source(random), Traits(traits) {
    restart();
  }

  /// Turns cold without a word.
  void restart() {
    StartedAt = Loop.now();
    Completed = 0;
  }

  /// Skips the cold start.
  void warmUp() {
    StartedAt = Loop.now() - Traits.WarmAfter;
    Completed = Traits.WarmAfterOrders;
  }

  /// Orders that the upstream bears now.
  std::uint32_t capacity() const {
    return 1 + static_cast<std::uint32_t>((Traits.Slots - 1) * progress());
  }

  /// Takes an order; \p done receives its service time.
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

  /// Orders in flight beyond what was borne, at most.
  std::uint32_t PeakExcess = 0;
  /// Orders that found more in flight than one and a quarter too many.
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

/// What became of one account's requests.
struct AccountTally {
  std::uint32_t Offered = 0;
  std::uint32_t Served = 0;
  std::uint32_t Refused = 0;
  std::vector<core::Duration> Latencies;
};

/// Offers requests of several accounts to an Admission before a model.
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

  /// Offers one request. \p queueAs overrides the account seen by the queue.
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

  /// Offers requests at exponential intervals until \p end.
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
  /// Orders that were started beyond the limit of the moment.
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
