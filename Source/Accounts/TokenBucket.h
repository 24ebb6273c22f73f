/// \file
/// A token bucket in exact integer arithmetic.

#ifndef ACACIAROAD_ACCOUNTS_TOKENBUCKET_H
#define ACACIAROAD_ACCOUNTS_TOKENBUCKET_H

#include <cstdint>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::accounts {

/// The share of one client account over the whole fleet.
struct AccountRate {
  /// Requests a second.
  double PerSecond = 0;
  /// Requests.
  double Burst = 0;
  bool operator==(const AccountRate &) const = default;
};

/// Billionths of a request; rate times nanoseconds gives this unit.
using NanoTokens = std::int64_t;
inline constexpr NanoTokens NanoTokensPerToken = 1'000'000'000;

/// Fills at a rate up to its burst, less what is reserved. All rounding is
/// downwards, so the bucket never holds more than the exact amount.
class TokenBucket {
public:
  /// Starts empty at \p now. Fails with InvalidArgument for a rate that is
  /// negative or not finite, or for a burst below one request or too large.
  static core::Result<TokenBucket> create(AccountRate rate,
                                          core::TimePoint now);

  /// Fills the bucket up to \p now. Time that went backwards adds nothing.
  void refill(core::TimePoint now);

  /// Takes whole requests, at most \p limit; returns how many.
  std::uint32_t take(std::uint32_t limit);

  /// Takes whole requests and keeps their place: the bucket fills only up to
  /// the burst less the reserve.
  std::uint32_t reserve(std::uint32_t limit);

  /// Frees the place of \p amount reserved requests and puts \p unspent of them
  /// back.
  void release(std::uint32_t amount, std::uint32_t unspent);

  /// Changes rate and burst from now on; level and reserve stay within it.
  core::Result<void> change(AccountRate rate, core::TimePoint now);

  /// Sets the level, bounded by the burst less the reserve.
  void setLevel(NanoTokens level);

  /// Reserves \p amount whatever the level; for credit granted elsewhere.
  void addReserved(std::uint32_t amount);

  /// Returns the time until the bucket holds a whole request, if it refills.
  core::Duration timeUntilNext() const;

  /// Returns whole requests.
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
