/// \file
/// The credit that one node holds of each client account.

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

/// Names a request within one node.
using Ticket = std::uint64_t;

/// How a holder reaches owners and the requests that wait. A hook must not call
/// the holder.
struct CreditHooks {
  /// Sends to the present owner of the ask's account; may lose it.
  std::function<void(const CreditAsk &)> Ask;
  /// Sends to the present owner of the account; may lose it.
  std::function<void(const CreditReturn &)> Return;
  std::function<void(Ticket)> OnTaken;
  /// RateExceeded or CreditUnavailable.
  std::function<void(Ticket, core::ErrorKind)> OnRefused;
};

enum class TakeOutcome : std::uint8_t {
  Taken,
  /// The request waits for the owner; a hook tells the outcome.
  AwaitingCredit,
  Refused,
};

/// What becomes of a request under its account's rate.
struct TakeDecision {
  TakeOutcome Outcome = TakeOutcome::Refused;
  /// The reason, if refused.
  core::ErrorKind Reason = core::ErrorKind::CreditUnavailable;
};

/// Takes requests out of credit, asks for more ahead of recent demand and
/// before it refuses, and returns what it does not use. The caller serialises
/// all calls.
class CreditHolder {
public:
  /// Fails with InvalidArgument for a null id or a missing hook.
  static core::Result<std::unique_ptr<CreditHolder>> create(core::InstanceId id,
                                                            CreditHooks hooks);

  /// Takes one request of \p account.
  TakeDecision take(std::string_view account, Ticket ticket,
                    core::TimePoint now);

  /// Forgets a waiting request, without a call of a hook.
  void cancel(std::string_view account, Ticket ticket);

  /// An owner answered. Late, duplicated and unasked grants have no effect.
  void handleGrant(const CreditGrant &grant, core::TimePoint now);

  /// Returns when `expire` has something to do next.
  std::optional<core::TimePoint> nextDeadline() const;

  /// Repeats unanswered asks, refuses what has waited too long, settles and
  /// returns credit.
  void expire(core::TimePoint now);

  /// Returns all unused credit, before the node stops.
  void returnAll(core::TimePoint now);

  /// Returns the requests of \p account that can be taken without asking.
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
    /// No ask before this moment; the reason of refusals until then.
    core::TimePoint BackOffUntil{};
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
