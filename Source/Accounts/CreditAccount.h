/// \file
/// The owner's state of one client account: token bucket and open grants.

#ifndef ACACIAROAD_ACCOUNTS_CREDITACCOUNT_H
#define ACACIAROAD_ACCOUNTS_CREDITACCOUNT_H

#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>

#include "Accounts/CreditMessages.h"
#include "Accounts/TokenBucket.h"
#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::accounts {

/// Token bucket and outstanding grants of one client account. Their sum never
/// exceeds the burst: granted credit stays reserved in the bucket until its
/// holder settles it or it expires. Credit that expires unsettled counts as
/// spent, because its holder may have spent it.
class CreditAccount {
public:
  /// Creates an account whose bucket is empty at \p readyAt and that grants
  /// nothing before. Fails with InvalidArgument for a rate out of range.
  static core::Result<CreditAccount> create(AccountRate rate,
                                            core::TimePoint readyAt);

  /// Creates an account from the state that the former owner handed over in a
  /// planned move. Fails with InvalidArgument for a rate out of range.
  static core::Result<CreditAccount>
  create(AccountRate rate, const CreditHandover &handover, core::TimePoint now);

  /// Handles a credit request. It is idempotent: a repeated ask gets the amount
  /// of the first grant until that is settled or has expired.
  CreditGrant grant(const CreditAsk &ask, core::TimePoint now);

  /// Releases the settled grants of \p holder; unknown ones are ignored.
  void settle(core::InstanceId holder,
              std::span<const CreditSettlement> settled, core::TimePoint now);

  /// Changes the rate. Fails with InvalidArgument for a rate out of range.
  core::Result<void> change(AccountRate rate, core::TimePoint now);

  /// Returns the state for the next owner. The caller must not grant any credit
  /// afterwards.
  CreditHandover handOver(std::string_view account, core::TimePoint now);

  /// Returns whether the account grants credit, that is, whether all credit of
  /// an unknown former owner has expired.
  bool isReady(core::TimePoint now) const;

  const TokenBucket &bucket() const;

private:
  struct GrantKey {
    core::InstanceId Holder;
    AskId Ask = 0;
    bool operator==(const GrantKey &) const = default;
  };
  struct KeyHash {
    std::size_t operator()(const GrantKey &key) const {
      constexpr std::uint64_t HashMultiplier = 0x9e3779b97f4a7c15U;
      return static_cast<std::size_t>(key.Holder.Value ^
                                      (key.Ask * HashMultiplier));
    }
  };
  struct Grant {
    GrantKey Key;
    std::uint32_t Amount = 0;
    core::TimePoint Expires{};
  };

  CreditAccount(TokenBucket bucket, core::TimePoint readyAt);
  /// Releases expired grants and refills the bucket up to \p now.
  void expireGrants(core::TimePoint now);
  void add(const GrantKey &key, std::uint32_t amount, core::TimePoint expires);
  /// Returns how many of \p wanted requests may be granted ahead of demand.
  std::uint32_t prefetchShare(std::uint32_t wanted) const;
  void recordAsker(core::InstanceId holder, core::TimePoint now);

  TokenBucket Bucket;
  core::TimePoint ReadyAt;
  /// Sorted by expiry.
  std::list<Grant> Grants;
  std::unordered_map<GrantKey, std::list<Grant>::iterator, KeyHash> GrantsByKey;
  /// Time of the last ask of each holder.
  std::unordered_map<core::InstanceId, core::TimePoint> RecentAskers;
  core::TimePoint AskersPrunedAt{};
};

/// Lifetime of a grant on the holder's clock, from the time of the ask.
inline constexpr core::Duration CreditLifetime = std::chrono::milliseconds(500);

/// Time after a new owner is ready in which requests that exceed its bucket
/// wait instead of being refused.
inline constexpr core::Duration TakeoverGracePeriod = std::chrono::seconds(1);

/// Time from the grant after which the owner treats credit as expired at its
/// holder: the lifetime plus 1% for the drift between the two clocks.
inline constexpr core::Duration CreditExpiry =
    CreditLifetime + CreditLifetime / 100;

} // namespace acaciaroad::accounts

#endif
