/// \file
/// One client account as its owner keeps it.

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

/// Bucket and outstanding credit of one account. Their sum never exceeds the
/// burst: credit keeps its place in the bucket until its holder has settled it
/// or it has expired. Credit that expires unsettled is lost to the account, as
/// it may have been spent.
class CreditAccount {
public:
  /// Grants nothing before \p readyAt and starts empty then.
  static core::Result<CreditAccount> create(AccountRate rate,
                                            core::TimePoint readyAt);

  /// Restores a planned move's state at \p now.
  static core::Result<CreditAccount>
  create(AccountRate rate, const CreditHandover &handover, core::TimePoint now);

  /// Answers an ask; the same ask again gets the same answer while its credit
  /// is out.
  CreditGrant grant(const CreditAsk &ask, core::TimePoint now);

  /// Frees settled grants; unknown ones have no effect.
  void settle(core::InstanceId holder,
              std::span<const CreditSettlement> settled, core::TimePoint now);

  core::Result<void> change(AccountRate rate, core::TimePoint now);

  /// Returns what the next owner needs; the caller grants nothing afterwards.
  CreditHandover handOver(std::string_view account, core::TimePoint now);

  /// Returns whether it grants, and no credit of an unknown amount is out.
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
  void expireGrants(core::TimePoint now);
  void add(const GrantKey &key, std::uint32_t amount, core::TimePoint expires);
  std::uint32_t prefetchShare(std::uint32_t wanted) const;
  void recordAsker(core::InstanceId holder, core::TimePoint now);

  TokenBucket Bucket;
  core::TimePoint ReadyAt;
  /// In order of expiry.
  std::list<Grant> Grants;
  std::unordered_map<GrantKey, std::list<Grant>::iterator, KeyHash> GrantsByKey;
  std::unordered_map<core::InstanceId, core::TimePoint> RecentAskers;
  core::TimePoint AskersPrunedAt{};
};

/// Lifetime of credit on its holder's clock, from the moment of asking.
inline constexpr core::Duration CreditLifetime = std::chrono::milliseconds(500);

/// Time after a takeover in which requests beyond the bucket wait rather than
/// are refused.
inline constexpr core::Duration TakeoverGracePeriod = std::chrono::seconds(1);

/// Time after which an owner may take credit to have expired at any holder,
/// from the moment of granting: the lifetime and the drift between two clocks.
inline constexpr core::Duration CreditExpiry =
    CreditLifetime + CreditLifetime / 100;

} // namespace acaciaroad::accounts

#endif
