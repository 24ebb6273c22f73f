#include "Accounts/TokenBucket.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <fmt/format.h>

namespace acaciaroad::accounts {

namespace {

/// In requests; keeps all products of NanoTokens within 64 bits.
constexpr double MaxBurst = 1e9;
constexpr core::Duration MaxWait = std::chrono::hours(1);

NanoTokens toNanoTokens(double tokens) {
  return static_cast<NanoTokens>(tokens * NanoTokensPerToken);
}

bool isValid(AccountRate rate) {
  return std::isfinite(rate.PerSecond) && rate.PerSecond >= 0 &&
         rate.Burst >= 1 && rate.Burst <= MaxBurst;
}

} // namespace

core::Result<TokenBucket> TokenBucket::create(AccountRate rate,
                                              core::TimePoint now) {
  if (!isValid(rate))
    return core::fail(
        core::ErrorKind::InvalidArgument,
        fmt::format("a rate of {} requests per second with a burst of {} "
                    "requests is out of range",
                    rate.PerSecond, rate.Burst));
  return TokenBucket(rate, now);
}

TokenBucket::TokenBucket(AccountRate rate, core::TimePoint now)
    : Rate(rate), Burst(toNanoTokens(rate.Burst)), LastRefill(now) {}

NanoTokens TokenBucket::ceiling() const {
  return std::max<NanoTokens>(0, Burst - Reserved);
}

void TokenBucket::refill(core::TimePoint now) {
  if (now <= LastRefill)
    return;
  const auto elapsed = static_cast<double>((now - LastRefill).count());
  const double added = std::floor(Rate.PerSecond * elapsed);
  const NanoTokens room = std::max<NanoTokens>(0, ceiling() - Level);
  if (added >= static_cast<double>(room))
    Level += room;
  else
    Level += static_cast<NanoTokens>(added);
  LastRefill = now;
}

std::uint32_t TokenBucket::take(std::uint32_t limit) {
  const std::uint32_t n = std::min(limit, available());
  Level -= n * NanoTokensPerToken;
  return n;
}

std::uint32_t TokenBucket::reserve(std::uint32_t limit) {
  const std::uint32_t n = take(limit);
  Reserved += n * NanoTokensPerToken;
  return n;
}

void TokenBucket::release(std::uint32_t amount, std::uint32_t unspent) {
  Reserved -= amount * NanoTokensPerToken;
  setLevel(Level + std::min(amount, unspent) * NanoTokensPerToken);
}

core::Result<void> TokenBucket::change(AccountRate rate, core::TimePoint now) {
  if (!isValid(rate))
    return core::fail(
        core::ErrorKind::InvalidArgument,
        fmt::format("a rate of {} requests per second with a burst of {} "
                    "requests is out of range",
                    rate.PerSecond, rate.Burst));
  refill(now);
  Rate = rate;
  Burst = toNanoTokens(rate.Burst);
  setLevel(Level);
  return {};
}

void TokenBucket::setLevel(NanoTokens level) {
  Level = std::clamp<NanoTokens>(level, 0, ceiling());
}

void TokenBucket::addReserved(std::uint32_t amount) {
  Reserved += amount * NanoTokensPerToken;
  setLevel(Level);
}

core::Duration TokenBucket::timeUntilNext() const {
  if (Level >= NanoTokensPerToken)
    return core::Duration::zero();
  const double missing = static_cast<double>(NanoTokensPerToken - Level);
  const double ns = std::ceil(missing / Rate.PerSecond);
  if (!(ns < static_cast<double>(MaxWait.count())))
    return MaxWait;
  return core::Duration(static_cast<core::Duration::rep>(ns));
}

std::uint32_t TokenBucket::available() const {
  return static_cast<std::uint32_t>(Level / NanoTokensPerToken);
}

NanoTokens TokenBucket::level() const { return Level; }

NanoTokens TokenBucket::reserved() const { return Reserved; }

AccountRate TokenBucket::rate() const { return Rate; }

} // namespace acaciaroad::accounts
