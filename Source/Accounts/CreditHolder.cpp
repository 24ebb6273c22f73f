#include "Accounts/CreditHolder.h"

#include <algorithm>
#include <vector>

namespace acaciaroad::accounts {

using core::ErrorKind;

namespace {

using std::chrono::milliseconds;

/// Credit for the demand expected in this time is fetched in advance.
constexpr core::Duration PrefetchWindow = milliseconds(100);
/// Time after which an unanswered ask is sent again.
constexpr core::Duration ResendInterval = milliseconds(100);
/// Longest time that a request waits for credit. It covers the replacement of a
/// failed owner and the wait of the new one for outstanding credit to expire.
constexpr core::Duration MaxWait = milliseconds(1500);
/// Age at which an unanswered ask is replaced by a new one, because its credit
/// would be close to expiry.
constexpr core::Duration AskTimeout = milliseconds(250);
/// Upper bound of the back-off that an owner's answer sets.
constexpr core::Duration MaxBackOff = milliseconds(50);
/// Time for which settlements are collected to be sent in one message.
constexpr core::Duration SettleBatchDelay = milliseconds(10);
/// Shortest back-off after an answer that no ready owner gave.
constexpr core::Duration RetryPause = milliseconds(10);
/// Time without requests after which the state of an account is removed.
constexpr core::Duration IdleLifetime = std::chrono::seconds(10);
/// Waiting requests per account; further ones are refused.
constexpr std::size_t MaxWaiters = 1024;

} // namespace

core::Result<std::unique_ptr<CreditHolder>>
CreditHolder::create(core::InstanceId id, CreditHooks hooks) {
  if (!id || !hooks.Ask || !hooks.Return || !hooks.OnTaken || !hooks.OnRefused)
    return core::fail(ErrorKind::InvalidArgument,
                      "a credit holder needs an instance id and all hooks");
  return std::unique_ptr<CreditHolder>(new CreditHolder(id, std::move(hooks)));
}

CreditHolder::CreditHolder(core::InstanceId id, CreditHooks hooks)
    : Id(id), Hooks(std::move(hooks)) {}

CreditHolder::Account &CreditHolder::findOrAddAccount(std::string_view name,
                                                      core::TimePoint now) {
  const auto it = Accounts.find(name);
  if (it != Accounts.end())
    return it->second;
  Account &account = Accounts[std::string(name)];
  account.Name = name;
  account.Timer = now + IdleLifetime;
  Timers.emplace(account.Timer, &account);
  return account;
}

TakeDecision CreditHolder::take(std::string_view account, Ticket ticket,
                                core::TimePoint now) {
  Account &entry = findOrAddAccount(account, now);
  entry.LastUse = now;
  entry.Demand.add(now);
  TakeDecision out{TakeOutcome::Taken, {}};
  if (!entry.Waiters.empty() || !entry.Credit.take(now))
    out = wait(entry, ticket, now);
  prefetch(entry, now);
  reschedule(entry, now);
  return out;
}

TakeDecision CreditHolder::wait(Account &account, Ticket ticket,
                                core::TimePoint now) {
  const bool isBackingOff = now < account.BackOffUntil;
  if (isBackingOff && account.BackOffReason == ErrorKind::RateExceeded)
    return {TakeOutcome::Refused, ErrorKind::RateExceeded};
  if (account.Waiters.size() >= MaxWaiters)
    return {TakeOutcome::Refused, ErrorKind::CreditUnavailable};
  account.Waiters.push_back({ticket, now + MaxWait});
  if (!account.Pending && !isBackingOff)
    ask(account, now);
  return {TakeOutcome::AwaitingCredit, {}};
}

void CreditHolder::ask(Account &account, core::TimePoint now) {
  PendingAsk pending;
  pending.Message.Holder = Id;
  pending.Message.Id = NextAsk++;
  pending.Message.Account = account.Name;
  pending.Message.Needed = static_cast<std::uint32_t>(account.Waiters.size());
  pending.Message.Wanted = wanted(account, now);
  pending.Message.Settled = account.Credit.takeSettled();
  pending.AskedAt = now;
  pending.ResendAt = now + ResendInterval;
  account.Pending = std::move(pending);
  Hooks.Ask(account.Pending->Message);
}

std::uint32_t CreditHolder::wanted(const Account &account,
                                   core::TimePoint now) {
  const double expected = account.Demand.expectedIn(PrefetchWindow, now);
  const auto target = static_cast<std::uint32_t>(expected);
  const std::uint32_t available = account.Credit.available(now);
  return target > available ? target - available : 0;
}

void CreditHolder::prefetch(Account &account, core::TimePoint now) {
  if (account.Pending || now < account.BackOffUntil)
    return;
  const std::uint32_t missing = wanted(account, now);
  if (missing > 0 && missing >= account.Credit.available(now))
    ask(account, now);
}

void CreditHolder::handleGrant(const CreditGrant &grant, core::TimePoint now) {
  const auto it = Accounts.find(grant.Account);
  if (it == Accounts.end())
    return;
  Account &account = it->second;
  if (!account.Pending || account.Pending->Message.Id != grant.Id)
    return;
  const PendingAsk pending = std::move(*account.Pending);
  account.Pending.reset();
  account.Credit.add(grant, pending.AskedAt, now);
  const std::size_t before = account.Waiters.size();
  serveWaiters(account, now);
  const std::size_t served = before - account.Waiters.size();
  const std::uint32_t needed = pending.Message.Needed;
  const std::size_t missing = needed - std::min(needed, grant.Amount);
  const bool isOwner = grant.Status == CreditStatus::Granted ||
                       grant.Status == CreditStatus::Exhausted;
  // The answer refuses only requests that were counted in the ask; later ones
  // keep waiting.
  if (isOwner && served < needed)
    refuseWaiters(account, std::min(missing, needed - served),
                  ErrorKind::RateExceeded);
  backOff(account, grant, isOwner, now);
  processTimers(account, now);
  reschedule(account, now);
}

void CreditHolder::backOff(Account &account, const CreditGrant &grant,
                           bool isOwner, core::TimePoint now) {
  const core::Duration wait = std::min(grant.RetryAfter, MaxBackOff);
  account.BackOffReason =
      isOwner ? ErrorKind::RateExceeded : ErrorKind::CreditUnavailable;
  // Requests that wait for a new owner stay queued; one ask retries for all.
  account.BackOffUntil = now + (isOwner ? wait : std::max(wait, RetryPause));
}

void CreditHolder::serveWaiters(Account &account, core::TimePoint now) {
  while (!account.Waiters.empty() && account.Credit.take(now)) {
    const Ticket id = account.Waiters.front().Id;
    account.Waiters.pop_front();
    Hooks.OnTaken(id);
  }
}

void CreditHolder::refuseWaiters(Account &account, std::size_t limit,
                                 ErrorKind reason) {
  for (std::size_t n = 0; n < limit && !account.Waiters.empty(); ++n) {
    const Ticket id = account.Waiters.front().Id;
    account.Waiters.pop_front();
    Hooks.OnRefused(id, reason);
  }
}

void CreditHolder::cancel(std::string_view account, Ticket ticket) {
  const auto it = Accounts.find(account);
  if (it != Accounts.end())
    std::erase_if(it->second.Waiters,
                  [&](const Waiter &w) { return w.Id == ticket; });
}

void CreditHolder::processTimers(Account &account, core::TimePoint now) {
  refuseOverdueWaiters(account, now);
  account.Credit.closeNearExpiry(now);
  if (account.Pending && account.Pending->ResendAt <= now)
    resend(account, now);
  if (!account.Pending && !account.Waiters.empty() &&
      now >= account.BackOffUntil)
    ask(account, now);
  settle(account, now);
}

void CreditHolder::resend(Account &account, core::TimePoint now) {
  PendingAsk &pending = *account.Pending;
  // A resent ask keeps its id, so it yields at most one grant. An old ask is
  // replaced instead, because its credit would be close to expiry.
  if (now - pending.AskedAt < AskTimeout) {
    pending.ResendAt = now + ResendInterval;
    Hooks.Ask(pending.Message);
    return;
  }
  account.Pending.reset();
}

void CreditHolder::refuseOverdueWaiters(Account &account, core::TimePoint now) {
  while (!account.Waiters.empty() && account.Waiters.front().Deadline <= now)
    refuseWaiters(account, 1, ErrorKind::CreditUnavailable);
}

void CreditHolder::settle(Account &account, core::TimePoint now) {
  if (!account.Credit.hasSettled()) {
    account.SettleAt = {};
    return;
  }
  if (account.SettleAt == core::TimePoint{})
    account.SettleAt = now + SettleBatchDelay;
  if (account.SettleAt <= now)
    sendSettled(account);
}

void CreditHolder::sendSettled(Account &account) {
  account.SettleAt = {};
  if (account.Credit.hasSettled())
    Hooks.Return({Id, account.Name, account.Credit.takeSettled()});
}

std::optional<core::TimePoint> CreditHolder::nextDeadline() const {
  if (Timers.empty())
    return std::nullopt;
  return Timers.begin()->first;
}

void CreditHolder::expire(core::TimePoint now) {
  while (!Timers.empty() && Timers.begin()->first <= now) {
    Account &account = *Timers.begin()->second;
    processTimers(account, now);
    const bool isIdle = !account.Pending && account.Waiters.empty() &&
                        !account.Credit.hasSettled() &&
                        account.Credit.available(now) == 0 &&
                        now - account.LastUse >= IdleLifetime;
    if (!isIdle) {
      reschedule(account, now);
      continue;
    }
    Timers.erase(Timers.begin());
    Accounts.erase(Accounts.find(account.Name));
  }
}

void CreditHolder::returnAll(core::TimePoint now) {
  for (auto &[name, account] : Accounts) {
    account.Credit.closeAll(now);
    sendSettled(account);
    reschedule(account, now);
  }
}

void CreditHolder::reschedule(Account &account, core::TimePoint now) {
  settle(account, now);
  const core::TimePoint next = nextTimer(account);
  if (next == account.Timer)
    return;
  Timers.erase({account.Timer, &account});
  account.Timer = next;
  Timers.emplace(next, &account);
}

core::TimePoint CreditHolder::nextTimer(const Account &account) {
  core::TimePoint next = account.LastUse + IdleLifetime;
  if (!account.Waiters.empty())
    next = std::min(next, account.Waiters.front().Deadline);
  if (!account.Waiters.empty() && !account.Pending)
    next = std::min(next, account.BackOffUntil);
  if (account.Pending)
    next = std::min(next, account.Pending->ResendAt);
  if (account.Credit.hasSettled())
    next = std::min(next, account.SettleAt);
  if (const auto aged = account.Credit.nextCloseTime())
    next = std::min(next, *aged);
  return next;
}

std::uint32_t CreditHolder::available(std::string_view account,
                                      core::TimePoint now) const {
  const auto it = Accounts.find(account);
  return it == Accounts.end() ? 0 : it->second.Credit.available(now);
}

} // namespace acaciaroad::accounts
