/// \file
/// Entry nodes that send to a few upstreams, of which one at a time is slow.

#ifndef ACACIAROAD_BENCH_STRAGGLERMODEL_H
#define ACACIAROAD_BENCH_STRAGGLERMODEL_H

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Requests/AttemptPlan.h"
#include "Requests/HedgePolicy.h"
#include "Requests/LoadBalancer.h"
#include "Support/EventLoop.h"
#include "Support/Random.h"

namespace acaciaroad::bench {

/// How an entry node chooses and repeats.
struct StragglerPolicy {
  bool IsTwoChoice = false;
  bool IsHedged = false;
};

/// What the callers saw.
struct StragglerResult {
  std::vector<core::Duration> Latencies;
  std::uint64_t Requests = 0;
  std::uint64_t Attempts = 0;
};

/// Upstreams of 12 slots behind queues. Every two seconds one of them is ten
/// times slower for half a second; load reports come every 100 ms.
class StragglerModel {
public:
  StragglerModel(tests::EventLoop &loop, tests::Random &random,
                 StragglerPolicy policy)
      : Loop(loop), Source(random), Policy(policy),
        Rules(requests::RequestPolicy::of(workClass()).value()) {
    Servers.resize(ServerCount);
    for (std::size_t n = 0; n < EntryCount; ++n)
      Entries.push_back(makeEntry());
  }

  StragglerResult run(core::Duration length) {
    End = Loop.now() + length;
    arrive();
    straggle();
    report();
    Loop.runUntil(End + std::chrono::seconds(5));
    return std::move(Result);
  }

private:
  static constexpr std::size_t ServerCount = 4;
  static constexpr std::size_t EntryCount = 4;
  static constexpr std::uint32_t Slots = 12;
  static constexpr double Load = 0.6;
  static constexpr core::Duration Service = std::chrono::milliseconds(4);
  static constexpr int Slowness = 10;

  struct Request {
    std::size_t Entry = 0;
    core::TimePoint Start{};
    std::vector<core::InstanceId> Tried;
    std::unique_ptr<requests::AttemptPlan> Plan;
    bool IsOver = false;
  };
  struct Attempt {
    std::shared_ptr<Request> Of;
    std::size_t Server = 0;
    core::TimePoint Sent{};
    bool IsRunning = false;
    bool IsOver = false;
  };
  struct Server {
    std::uint32_t Busy = 0;
    bool IsSlow = false;
    std::deque<std::shared_ptr<Attempt>> Queue;
  };
  struct Entry {
    requests::LoadBalancer Choice;
    requests::HedgePolicy Hedges;
    requests::RetryBudget Budget;
  };

  static configuration::WorkClass workClass() {
    configuration::WorkClass it;
    it.LatencyTarget = std::chrono::milliseconds(50);
    return it;
  }

  Entry makeEntry() {
    auto choice = requests::LoadBalancer::create("here", [this] {
                    return Source.next();
                  }).value();
    std::vector<requests::Candidate> candidates;
    for (std::size_t n = 0; n < ServerCount; ++n)
      candidates.push_back({core::InstanceId{n + 1}, "here"});
    choice.setCandidates(candidates);
    return {
        std::move(choice), requests::HedgePolicy(Rules),
        requests::RetryBudget::create(Rules.RetryRatio, Loop.now()).value()};
  }

  void arrive() {
    constexpr double PerSecond = Load * ServerCount * Slots * 250;
    const core::Duration mean(static_cast<std::int64_t>(1e9 / PerSecond));
    Loop.after(Source.exponential(mean), [this] {
      if (Loop.now() >= End)
        return;
      begin();
      arrive();
    });
  }

  void begin() {
    auto request = std::make_shared<Request>();
    request->Entry = Source.below(EntryCount);
    request->Start = Loop.now();
    request->Plan = std::make_unique<requests::AttemptPlan>(
        requests::AttemptPlan::create(
            Rules, Loop.now() + std::chrono::seconds(5), Loop.now())
            .value());
    Entry &entry = Entries[request->Entry];
    entry.Budget.onRequest(Loop.now());
    ++Result.Requests;
    send(request);
    const auto delay = entry.Hedges.delay();
    if (!Policy.IsHedged || !delay)
      return;
    Loop.after(*delay, [this, request] {
      if (request->Plan->tryAcquireHedge(Entries[request->Entry].Budget,
                                         Loop.now()))
        send(request);
    });
  }

  void send(const std::shared_ptr<Request> &request) {
    Entry &entry = Entries[request->Entry];
    core::InstanceId to{1 + Source.below(ServerCount)};
    if (Policy.IsTwoChoice)
      to = entry.Choice.choose(request->Tried, Loop.now()).value_or(to);
    request->Tried.push_back(to);
    request->Plan->started();
    entry.Choice.sent(to);
    ++Result.Attempts;
    auto attempt = std::make_shared<Attempt>();
    attempt->Of = request;
    attempt->Server = to.Value - 1;
    attempt->Sent = Loop.now();
    Servers[attempt->Server].Queue.push_back(attempt);
    serve(attempt->Server);
  }

  void serve(std::size_t n) {
    Server &server = Servers[n];
    while (server.Busy < Slots && !server.Queue.empty()) {
      const std::shared_ptr<Attempt> it = server.Queue.front();
      server.Queue.pop_front();
      if (it->Of->IsOver) {
        giveUp(*it);
        continue;
      }
      ++server.Busy;
      const core::Duration mean = server.IsSlow ? Service * Slowness : Service;
      Loop.after(Source.exponential(mean), [this, it] { finish(*it); });
    }
  }

  void finish(Attempt &it) {
    --Servers[it.Server].Busy;
    Request &request = *it.Of;
    if (request.IsOver) {
      giveUp(it);
    } else {
      Entry &entry = Entries[request.Entry];
      const core::Duration latency = Loop.now() - it.Sent;
      entry.Choice.ended(core::InstanceId{it.Server + 1},
                         requests::AttemptOutcome::Answered, latency,
                         Loop.now());
      entry.Hedges.observe(latency);
      request.IsOver = true;
      request.Plan->ended(requests::AttemptOutcome::Answered, {}, entry.Budget,
                          Loop.now());
      Result.Latencies.push_back(Loop.now() - request.Start);
    }
    serve(it.Server);
  }

  /// The other attempt won; the age of this one is a bound of its latency.
  void giveUp(const Attempt &it) {
    Entry &entry = Entries[it.Of->Entry];
    entry.Choice.abandoned(core::InstanceId{it.Server + 1});
    entry.Hedges.observe(Loop.now() - it.Sent);
  }

  void straggle() {
    const std::size_t n = Source.below(ServerCount);
    Servers[n].IsSlow = true;
    Loop.after(std::chrono::milliseconds(500),
               [this, n] { Servers[n].IsSlow = false; });
    if (Loop.now() < End)
      Loop.after(std::chrono::seconds(2), [this] { straggle(); });
  }

  void report() {
    for (std::size_t n = 0; n < ServerCount; ++n)
      for (Entry &it : Entries)
        it.Choice.reported(core::InstanceId{n + 1},
                           {Servers[n].Busy,
                            static_cast<std::uint32_t>(Servers[n].Queue.size()),
                            Slots},
                           Loop.now());
    if (Loop.now() < End)
      Loop.after(std::chrono::milliseconds(100), [this] { report(); });
  }

  tests::EventLoop &Loop;
  tests::Random &Source;
  StragglerPolicy Policy;
  requests::RequestPolicy Rules;
  std::vector<Server> Servers;
  std::vector<Entry> Entries;
  core::TimePoint End{};
  StragglerResult Result;
};

} // namespace acaciaroad::bench

#endif
