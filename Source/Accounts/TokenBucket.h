/// \file
/// A token bucket with exact integer levels.

#ifndef ACACIAROAD_ACCOUNTS_TOKENBUCKET_H
#define ACACIAROAD_ACCOUNTS_TOKENBUCKET_H

#include <cstdint>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::accounts {

/// Rate limit of a client account.
struct AccountRate {
  /// Sustained rate in requests per second.
  double PerSecond = 0;
  /// Bucket capacity in requests.
  double Burst = 0;
  bool operator==(const AccountRate &) const = default;
};

/// Billionths of a token, the unit of a rate per second times nanoseconds. One
/// token admits one request.
using NanoTokens = std::int64_t;
inline constexpr NanoTokens NanoTokensPerToken = 1'000'000'000;

/// Fills at the rate up to the burst minus the reserved tokens. Rounds down, so
/// the bucket never holds more than the exact amount.
class TokenBucket {
public:
  /// Creates a bucket that is empty at \p now. Fails with InvalidArgument for a
  /// rate that is negative or not finite, or a burst outside 1 to 1e9 requests.
  static core::Result<TokenBucket> create(AccountRate rate,
                                          core::TimePoint now);

  /// Adds the tokens accrued until \p now; none if the clock went backwards.
  void refill(core::TimePoint now);

  /// Takes up to \p limit whole tokens and returns how many it took.
  std::uint32_t take(std::uint32_t limit);

  /// Takes up to \p limit whole tokens and reserves their capacity, which is
  /// not refilled before release().
  std::uint32_t reserve(std::uint32_t limit);

  /// Releases \p amount reserved tokens, of which \p unspent return to the
  /// bucket.
  void release(std::uint32_t amount, std::uint32_t unspent);

  /// Changes rate and burst at \p now and lowers the level to the new capacity.
  /// Fails as create() does.
  core::Result<void> change(AccountRate rate, core::TimePoint now);

  /// Sets the level, limited to the burst minus the reserved tokens.
  void setLevel(NanoTokens level);

  /// Reserves \p amount tokens regardless of the level, for credit that another
  /// owner granted.
  void addReserved(std::uint32_t amount);

  /// Returns the time until the bucket holds a whole token, at most one hour.
  core::Duration timeUntilNext() const;

  /// Returns the number of whole tokens.
  std::uint32_t available() const;
  NanoTokens level() const;
  NanoTokens reserved() const;
  AccountRate rate() const;

private:
  TokenBucket(AccountRate rate, core::TimePoint now);
  NanoTokens ceiling() const;

  AccountRate Rate;
  NanoTokens Burst;
  NanoTokens Level = 0;
  NanoTokens Reserved = 0;
  core::TimePoint LastRefill;
};

} // namespace acaciaroad::accounts

#endif
