#include "Accounts/CreditAccount.h"

#include <algorithm>

namespace acaciaroad::accounts {

core::Result<CreditAccount> CreditAccount::create(AccountRate rate,
                                                  core::TimePoint readyAt) {
  return TokenBucket::create(rate, readyAt).map([&](TokenBucket bucket) {
    return CreditAccount(bucket, readyAt);
  });
}

core::Result<CreditAccount>
CreditAccount::create(AccountRate rate, const CreditHandover &handover,
                      core::TimePoint now) {
  auto account = create(rate, now);
  if (!account)
    return account;
  for (const OutstandingCredit &it : handover.Outstanding) {
    account->Bucket.addReserved(it.Amount);
    account->add({it.Holder, it.Ask}, it.Amount, now + it.Remaining);
  }
  account->Bucket.setLevel(handover.Level);
  return account;
}

CreditAccount::CreditAccount(TokenBucket bucket, core::TimePoint readyAt)
    : Bucket(bucket), ReadyAt(readyAt) {}

CreditGrant CreditAccount::grant(const CreditAsk &ask, core::TimePoint now) {
  settle(ask.Holder, ask.Settled, now);
  CreditGrant out{ask.Id, ask.Account,    CreditStatus::Granted,
                  0,      CreditLifetime, {}};
  if (!isReady(now)) {
    out.Status = CreditStatus::NotReady;
    out.RetryAfter = ReadyAt - now;
    return out;
  }
  const GrantKey key{ask.Holder, ask.Id};
  if (const auto it = GrantsByKey.find(key); it != GrantsByKey.end()) {
    out.Amount = it->second->Amount;
    return out;
  }
  recordAsker(ask.Holder, now);
  out.Amount = Bucket.reserve(ask.Needed);
  out.Amount += Bucket.reserve(prefetchShare(ask.Wanted));
  if (out.Amount > 0)
    add(key, out.Amount, now + CreditExpiry);
  if (out.Amount < ask.Needed)
    out.RetryAfter = Bucket.timeUntilNext();
  if (out.Amount == 0)
    out.Status = CreditStatus::Exhausted;
  // The bucket of a new owner starts empty regardless of what the account has
  // used, so a shortage at first doesn't mean that the account is over its
  // rate. Its requests wait instead of being refused.
  if (out.Amount < ask.Needed && now < ReadyAt + TakeoverGracePeriod)
    out.Status = CreditStatus::NotReady;
  return out;
}

std::uint32_t CreditAccount::prefetchShare(std::uint32_t wanted) const {
  // The lower half of the burst is kept for waiting requests. Only what exceeds
  // it is prefetched, divided evenly among the holders that asked recently.
  const auto half = static_cast<std::uint32_t>(Bucket.rate().Burst / 2);
  const std::uint32_t available = Bucket.available();
  if (available <= half)
    return 0;
  const auto askers = static_cast<std::uint32_t>(RecentAskers.size());
  return std::min(wanted, (available - half) / std::max(1U, askers));
}

void CreditAccount::recordAsker(core::InstanceId holder, core::TimePoint now) {
  RecentAskers[holder] = now;
  if (now - AskersPrunedAt < CreditLifetime)
    return;
  AskersPrunedAt = now;
  std::erase_if(RecentAskers, [&](const auto &it) {
    return now - it.second > CreditLifetime;
  });
}

void CreditAccount::settle(core::InstanceId holder,
                           std::span<const CreditSettlement> settled,
                           core::TimePoint now) {
  expireGrants(now);
  for (const CreditSettlement &it : settled) {
    const auto found = GrantsByKey.find({holder, it.Ask});
    if (found == GrantsByKey.end())
      continue;
    Bucket.release(found->second->Amount, it.Unspent);
    Grants.erase(found->second);
    GrantsByKey.erase(found);
  }
}

void CreditAccount::expireGrants(core::TimePoint now) {
  while (!Grants.empty() && Grants.front().Expires <= now) {
    // Refill up to the expiry first: a grant's capacity refills only after it.
    Bucket.refill(Grants.front().Expires);
    Bucket.release(Grants.front().Amount, 0);
    GrantsByKey.erase(Grants.front().Key);
    Grants.pop_front();
  }
  Bucket.refill(now);
}

void CreditAccount::add(const GrantKey &key, std::uint32_t amount,
                        core::TimePoint expires) {
  const auto later =
      std::find_if(Grants.rbegin(), Grants.rend(),
                   [&](const Grant &it) { return it.Expires <= expires; });
  GrantsByKey[key] = Grants.insert(later.base(), Grant{key, amount, expires});
}

core::Result<void> CreditAccount::change(AccountRate rate,
                                         core::TimePoint now) {
  expireGrants(now);
  return Bucket.change(rate, now);
}

CreditHandover CreditAccount::handOver(std::string_view account,
                                       core::TimePoint now) {
  expireGrants(now);
  CreditHandover out{std::string(account), Bucket.level(), {}};
  for (const Grant &it : Grants)
    out.Outstanding.push_back(
        {it.Key.Holder, it.Key.Ask, it.Amount, it.Expires - now});
  return out;
}

bool CreditAccount::isReady(core::TimePoint now) const {
  return now >= ReadyAt;
}

const TokenBucket &CreditAccount::bucket() const { return Bucket; }

} // namespace acaciaroad::accounts
