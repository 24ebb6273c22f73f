#include "Accounts/HeldCredit.h"

#include <algorithm>
#include <utility>

namespace acaciaroad::accounts {

namespace {

/// Fraction of its lifetime after which unused credit is returned to the owner.
constexpr int ReturnNumerator = 3;
constexpr int ReturnDenominator = 4;

} // namespace

void HeldCredit::add(const CreditGrant &grant, core::TimePoint askedAt,
                     core::TimePoint now) {
  const core::TimePoint expires = askedAt + grant.Lifetime;
  if (grant.Amount == 0 || expires <= now)
    return;
  const core::Duration closeAfter =
      grant.Lifetime * ReturnNumerator / ReturnDenominator;
  Grants.push_back({grant.Id, grant.Amount, askedAt + closeAfter, expires});
  std::sort(Grants.begin(), Grants.end(), [](const Grant &a, const Grant &b) {
    return a.Expires < b.Expires;
  });
}

bool HeldCredit::take(core::TimePoint now) {
  dropExpired(now);
  if (Grants.empty())
    return false;
  if (--Grants.front().Remaining == 0)
    closeFirst();
  return true;
}

std::uint32_t HeldCredit::available(core::TimePoint now) const {
  std::uint32_t sum = 0;
  for (const Grant &it : Grants)
    if (it.Expires > now)
      sum += it.Remaining;
  return sum;
}

void HeldCredit::closeNearExpiry(core::TimePoint now) {
  dropExpired(now);
  while (!Grants.empty() && Grants.front().ReturnAt <= now)
    closeFirst();
}

void HeldCredit::closeAll(core::TimePoint now) {
  dropExpired(now);
  while (!Grants.empty())
    closeFirst();
}

void HeldCredit::closeFirst() {
  Settled.push_back({Grants.front().Ask, Grants.front().Remaining});
  Grants.erase(Grants.begin());
}

void HeldCredit::dropExpired(core::TimePoint now) {
  // The owner counts expired credit as spent, so there is nothing to settle.
  while (!Grants.empty() && Grants.front().Expires <= now)
    Grants.erase(Grants.begin());
}

std::vector<CreditSettlement> HeldCredit::takeSettled() {
  return std::exchange(Settled, {});
}

bool HeldCredit::hasSettled() const { return !Settled.empty(); }

std::optional<core::TimePoint> HeldCredit::nextCloseTime() const {
  if (Grants.empty())
    return std::nullopt;
  return Grants.front().ReturnAt;
}

} // namespace acaciaroad::accounts
