/// \file
/// The credit that one node holds for each client account.

#ifndef ACACIAROAD_ACCOUNTS_CREDITHOLDER_H
#define ACACIAROAD_ACCOUNTS_CREDITHOLDER_H

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "Accounts/CreditMessages.h"
#include "Accounts/DemandRate.h"
#include "Accounts/HeldCredit.h"
#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::accounts {

/// Identifies a request within one node.
using Ticket = std::uint64_t;

/// Callbacks for messages to owners and for the outcome of waiting requests.
/// They must not call the holder.
struct CreditHooks {
  /// Sends an ask to the current owner of its account. Delivery is best effort.
  std::function<void(const CreditAsk &)> Ask;
  /// Sends settlements to the current owner of the account. Delivery is best
  /// effort.
  std::function<void(const CreditReturn &)> Return;
  /// A waiting request may run.
  std::function<void(Ticket)> OnTaken;
  /// A waiting request is refused with RateExceeded or CreditUnavailable.
  std::function<void(Ticket, core::ErrorKind)> OnRefused;
};

enum class TakeOutcome : std::uint8_t {
  Taken,
  /// The request waits for credit; OnTaken or OnRefused reports the outcome.
  AwaitingCredit,
  Refused,
};

/// The result of admission control by the rate of a client account.
struct TakeDecision {
  TakeOutcome Outcome = TakeOutcome::Refused;
  /// Valid if refused: RateExceeded or CreditUnavailable.
  core::ErrorKind Reason = core::ErrorKind::CreditUnavailable;
};

/// Admits requests against credit granted by the owners of client accounts.
/// Prefetches credit according to recent demand, asks the owner before it
/// refuses a request, and returns unused credit before it expires. Not
/// thread-safe.
class CreditHolder {
public:
  /// Fails with InvalidArgument for a null id or a missing hook.
  static core::Result<std::unique_ptr<CreditHolder>> create(core::InstanceId id,
                                                            CreditHooks hooks);

  /// Admits or refuses one request of \p account, or queues it under \p ticket
  /// until the owner answers.
  TakeDecision take(std::string_view account, Ticket ticket,
                    core::TimePoint now);

  /// Removes a waiting request without calling a hook.
  void cancel(std::string_view account, Ticket ticket);

  /// Handles an owner's answer. Late, duplicate and unsolicited grants are
  /// ignored.
  void handleGrant(const CreditGrant &grant, core::TimePoint now);

  /// Returns when `expire` must be called next; nothing if no timer is set.
  std::optional<core::TimePoint> nextDeadline() const;

  /// Handles all timers due at \p now: resends asks, refuses requests that have
  /// waited too long, returns credit and removes idle accounts.
  void expire(core::TimePoint now);

  /// Returns all unused credit to its owners, for a shutdown of the node.
  void returnAll(core::TimePoint now);

  /// Returns how many requests of \p account can be admitted without an ask.
  std::uint32_t available(std::string_view account, core::TimePoint now) const;

private:
  struct Waiter {
    Ticket Id = 0;
    core::TimePoint Deadline{};
  };
  struct PendingAsk {
    CreditAsk Message;
    core::TimePoint AskedAt{};
    core::TimePoint ResendAt{};
  };
  struct Account {
    std::string Name;
    HeldCredit Credit;
    DemandRate Demand;
    std::deque<Waiter> Waiters;
    std::optional<PendingAsk> Pending;
    /// No ask is sent before this time.
    core::TimePoint BackOffUntil{};
    /// RateExceeded refuses new requests during the back-off; they are queued
    /// for any other reason.
    core::ErrorKind BackOffReason = core::ErrorKind::RateExceeded;
    core::TimePoint SettleAt{};
    core::TimePoint LastUse{};
    core::TimePoint Timer{};
  };
  struct NameHash {
    using is_transparent = void; // NOLINT: name fixed by the standard
    std::size_t operator()(std::string_view name) const {
      return std::hash<std::string_view>()(name);
    }
  };

  CreditHolder(core::InstanceId id, CreditHooks hooks);
  Account &findOrAddAccount(std::string_view name, core::TimePoint now);
  TakeDecision wait(Account &account, Ticket ticket, core::TimePoint now);
  void ask(Account &account, core::TimePoint now);
  void prefetch(Account &account, core::TimePoint now);
  void resend(Account &account, core::TimePoint now);
  /// Returns how much credit is missing for the demand expected soon.
  static std::uint32_t wanted(const Account &account, core::TimePoint now);
  void serveWaiters(Account &account, core::TimePoint now);
  void refuseWaiters(Account &account, std::size_t limit,
                     core::ErrorKind reason);
  static void backOff(Account &account, const CreditGrant &grant, bool isOwner,
                      core::TimePoint now);
  void refuseOverdueWaiters(Account &account, core::TimePoint now);
  void settle(Account &account, core::TimePoint now);
  void sendSettled(Account &account);
  void reschedule(Account &account, core::TimePoint now);
  static core::TimePoint nextTimer(const Account &account);
  void processTimers(Account &account, core::TimePoint now);

  core::InstanceId Id;
  CreditHooks Hooks;
  AskId NextAsk = 1;
  std::unordered_map<std::string, Account, NameHash, std::equal_to<>> Accounts;
  std::set<std::pair<core::TimePoint, Account *>> Timers;
};

} // namespace acaciaroad::accounts

#endif
