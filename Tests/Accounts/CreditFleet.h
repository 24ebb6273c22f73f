/// \file
/// Simulation of credit holders and owners on a faulty network.

#ifndef ACACIAROAD_TESTS_ACCOUNTS_CREDITFLEET_H
#define ACACIAROAD_TESTS_ACCOUNTS_CREDITFLEET_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Accounts/CreditHolder.h"
#include "Accounts/CreditOwner.h"
#include "Accounts/RateChecker.h"
#include "Support/EventLoop.h"
#include "Support/Random.h"

namespace acaciaroad::tests {

/// Fault injection between holders and owners.
struct NetworkFaults {
  /// Probability of losing a message.
  double Loss = 0;
  /// Probability of sending a message twice.
  double Duplication = 0;
  /// Probability of an additional delay of up to LateBound.
  double Late = 0;
  core::Duration LateBound = std::chrono::milliseconds(800);
  /// One-way delay.
  core::Duration Delay = std::chrono::microseconds(500);
};

/// A client account of the simulation.
struct ModelAccount {
  std::string Name;
  std::int64_t PerSecond = 0;
  std::int64_t Burst = 0;
  /// Requests per second that callers send to all nodes together.
  double Offered = 0;
  /// Skew of the distribution of requests over nodes; 0 is uniform.
  double Skew = 0;
};

/// Counts of requests of one account.
struct CreditCounts {
  std::uint64_t Offered = 0;
  std::uint64_t Taken = 0;
  /// Taken without waiting for an owner.
  std::uint64_t AtOnce = 0;
  std::uint64_t RateExceeded = 0;
  std::uint64_t CreditUnavailable = 0;
  /// Refused although a single token bucket for all nodes would have admitted
  /// it.
  std::uint64_t Wrongful = 0;
  /// Taken in excess of rate and burst.
  std::uint64_t Violations = 0;
};

/// Nodes that hold credit, one of which owns all accounts.
class CreditFleet {
public:
  CreditFleet(EventLoop &loop, Random &random, std::size_t nodes,
              std::vector<ModelAccount> accounts, NetworkFaults faults)
      : Loop(loop), Rng(random), Faults(faults), Accounts(std::move(accounts)),
        Counts(Accounts.size()), Owners(nodes), Blocked(nodes), Paused(nodes) {
    for (const ModelAccount &it : Accounts) {
      Checkers.emplace_back(it.PerSecond, it.Burst);
      IdealCheckers.emplace_back(it.PerSecond, it.Burst);
    }
    for (std::size_t n = 0; n < nodes; ++n)
      addHolder(n);
    own(0);
  }

  /// Makes \p node the owner of all accounts without a handover.
  void own(std::size_t node) {
    Owner = node;
    for (const ModelAccount &it : Accounts)
      (void)Owners[node].takeOwnership(it.Name, rateOf(it), Loop.now());
  }

  /// Fails the owner; \p next takes over after \p gap.
  void failOwner(std::size_t next, core::Duration gap) {
    Owners[Owner] = accounts::CreditOwner();
    Loop.after(gap, [this, next] { own(next); });
  }

  /// Hands all accounts over to \p next in a planned move.
  void moveOwner(std::size_t next) {
    const std::size_t from = Owner;
    if (from == next)
      return;
    Owner = next;
    for (const ModelAccount &it : Accounts) {
      const auto handover = Owners[from].handOver(it.Name, Loop.now());
      Owners[from].dropOwnership(it.Name);
      const core::Duration delay = Faults.Delay;
      if (!handover) {
        (void)Owners[next].takeOwnership(it.Name, rateOf(it), Loop.now());
        continue;
      }
      Loop.after(delay, [this, next, &it, handover] {
        (void)Owners[next].takeOwnership(*handover, rateOf(it), Loop.now());
      });
    }
  }

  /// Partitions a node from all others, or reconnects it.
  void block(std::size_t node, bool isBlocked) { Blocked[node] = isBlocked; }

  /// Pauses a node, which then ignores timers, grants and requests, or resumes
  /// it.
  void pause(std::size_t node, bool isPaused) {
    Paused[node] = isPaused;
    if (!isPaused)
      tick(node);
  }

  /// Sends one request of an account to a node that isn't paused.
  void request(std::size_t account, std::size_t node) {
    if (Paused[node])
      return;
    CreditCounts &counts = Counts[account];
    ++counts.Offered;
    const accounts::Ticket id = NextTicket++;
    const bool isConforming =
        IdealCheckers[account].takeIfWithinRate(Loop.now());
    Waiting[id] = {account, isConforming};
    const accounts::TakeDecision decision =
        Holders[node]->take(Accounts[account].Name, id, Loop.now());
    if (decision.Outcome == accounts::TakeOutcome::Taken) {
      ++counts.AtOnce;
      taken(id);
    } else if (decision.Outcome == accounts::TakeOutcome::Refused) {
      refused(id, decision.Reason);
    }
    schedule(node);
  }

  /// Sends the requests of all accounts until \p end, and lets them finish.
  void run(core::TimePoint end) {
    for (std::size_t n = 0; n < Accounts.size(); ++n)
      scheduleArrivals(n, end);
    Loop.runUntil(end + std::chrono::seconds(2));
  }

  std::size_t owner() const { return Owner; }
  const std::vector<CreditCounts> &accountCounts() const { return Counts; }
  std::uint64_t messages() const { return Messages; }

  CreditCounts total() const {
    CreditCounts sum;
    for (const CreditCounts &it : Counts) {
      sum.Offered += it.Offered;
      sum.Taken += it.Taken;
      sum.AtOnce += it.AtOnce;
      sum.RateExceeded += it.RateExceeded;
      sum.CreditUnavailable += it.CreditUnavailable;
      sum.Wrongful += it.Wrongful;
      sum.Violations += it.Violations;
    }
    return sum;
  }

  /// Returns a random node, distributed with \p skew.
  static std::size_t chooseNode(Random &random, std::size_t nodes,
                                double skew) {
    const double power = 1 + skew;
    const double at = std::pow(random.unit(), power);
    return std::min(nodes - 1,
                    static_cast<std::size_t>(at * static_cast<double>(nodes)));
  }

private:
  struct Request {
    std::size_t Account = 0;
    bool IsConforming = false;
  };

  static accounts::AccountRate rateOf(const ModelAccount &it) {
    return {static_cast<double>(it.PerSecond), static_cast<double>(it.Burst)};
  }

  void addHolder(std::size_t node) {
    accounts::CreditHooks hooks;
    hooks.Ask = [this, node](const accounts::CreditAsk &ask) {
      deliver(node, Owner, [this, node, ask, to = Owner] {
        const accounts::CreditGrant grant =
            Owners[to].handleAsk(ask, Loop.now());
        deliver(to, node, [this, node, grant] {
          if (Paused[node])
            return;
          Holders[node]->handleGrant(grant, Loop.now());
          schedule(node);
        });
      });
    };
    hooks.Return = [this, node](const accounts::CreditReturn &message) {
      deliver(node, Owner, [this, message, to = Owner] {
        Owners[to].handleReturn(message, Loop.now());
      });
    };
    hooks.OnTaken = [this](accounts::Ticket id) { taken(id); };
    hooks.OnRefused = [this](accounts::Ticket id, core::ErrorKind kind) {
      refused(id, kind);
    };
    Holders.push_back(std::move(
        accounts::CreditHolder::create(core::InstanceId{node + 1}, hooks)
            .value()));
    NextTicks.emplace_back(core::TimePoint::max());
  }

  void deliver(std::size_t from, std::size_t to,
               const std::function<void()> &call) {
    ++Messages;
    const int copies = Rng.chance(Faults.Duplication) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      if (Rng.chance(Faults.Loss) || (from != to && isCut(from, to)))
        continue;
      core::Duration delay = from == to ? core::Duration(1) : Faults.Delay;
      if (Rng.chance(Faults.Late))
        delay += core::Duration(static_cast<std::int64_t>(
            Rng.below(static_cast<std::uint64_t>(Faults.LateBound.count()))));
      Loop.after(delay, call);
    }
  }

  bool isCut(std::size_t from, std::size_t to) const {
    return Blocked[from] || Blocked[to];
  }

  void scheduleArrivals(std::size_t account, core::TimePoint end) {
    const ModelAccount &it = Accounts[account];
    if (it.Offered <= 0)
      return;
    const core::Duration mean(static_cast<std::int64_t>(1e9 / it.Offered));
    Loop.after(Rng.exponential(mean), [this, account, end] {
      if (Loop.now() >= end)
        return;
      request(account, chooseNode(Rng, Holders.size(), Accounts[account].Skew));
      scheduleArrivals(account, end);
    });
  }

  void schedule(std::size_t node) {
    const auto next = Holders[node]->nextDeadline();
    if (!next || *next >= NextTicks[node])
      return;
    NextTicks[node] = *next;
    Loop.at(*next, [this, node] { tick(node); });
  }

  void tick(std::size_t node) {
    if (Paused[node])
      return;
    NextTicks[node] = core::TimePoint::max();
    Holders[node]->expire(Loop.now());
    schedule(node);
  }

  void taken(accounts::Ticket id) {
    const Request it = Waiting.at(id);
    Waiting.erase(id);
    CreditCounts &counts = Counts[it.Account];
    ++counts.Taken;
    if (!Checkers[it.Account].take(Loop.now()))
      ++counts.Violations;
  }

  void refused(accounts::Ticket id, core::ErrorKind kind) {
    const Request it = Waiting.at(id);
    Waiting.erase(id);
    CreditCounts &counts = Counts[it.Account];
    if (kind == core::ErrorKind::RateExceeded)
      ++counts.RateExceeded;
    else
      ++counts.CreditUnavailable;
    if (it.IsConforming)
      ++counts.Wrongful;
  }

  EventLoop &Loop;
  Random &Rng;
  NetworkFaults Faults;
  std::vector<ModelAccount> Accounts;
  std::vector<CreditCounts> Counts;
  std::vector<RateChecker> Checkers;
  std::vector<RateChecker> IdealCheckers;
  std::vector<accounts::CreditOwner> Owners;
  std::vector<bool> Blocked;
  std::vector<bool> Paused;
  std::vector<std::unique_ptr<accounts::CreditHolder>> Holders;
  std::vector<core::TimePoint> NextTicks;
  std::unordered_map<accounts::Ticket, Request> Waiting;
  accounts::Ticket NextTicket = 1;
  std::uint64_t Messages = 0;
  std::size_t Owner = 0;
};

} // namespace acaciaroad::tests

#endif
