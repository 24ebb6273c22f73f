#include "Accounts/AccountShares.h"

#include <algorithm>

namespace acaciaroad::accounts {

namespace {

/// Part of a share's room that is borrowed at once: several requests for one
/// round trip, while the lender keeps most of its own.
constexpr double BorrowedPart = 0.25;

/// Part of the burst that is spread over the window.
constexpr double SpreadPart = 0.5;

} // namespace

void AccountShares::setNodes(std::size_t nodes, core::TimePoint now) {
  const auto n = static_cast<double>(std::max<std::size_t>(1, nodes));
  if (n == Nodes)
    return;
  Nodes = n;
  for (auto &[name, it] : Shares)
    // The bounds were valid before, and part() keeps them so.
    static_cast<void>(it.Bucket.change(part(it.Whole), now));
}

AccountRate AccountShares::part(const AccountRate &whole) const {
  const std::chrono::duration<double> window =
      std::max<core::Duration>(Window, std::chrono::seconds(1));
  const double spread = whole.Burst * SpreadPart;
  const double rate = whole.PerSecond + spread / window.count();
  // A bucket that holds less than one request never lets any through.
  return {rate / Nodes, std::max(1.0, (whole.Burst - spread) / Nodes)};
}

AccountShares::Share *AccountShares::find(std::string_view account,
                                          const AccountRate &rate,
                                          core::TimePoint now) {
  const auto it = Shares.find(std::string(account));
  if (it != Shares.end()) {
    if (it->second.Whole == rate)
      return &it->second;
    it->second.Whole = rate;
    if (it->second.Bucket.change(part(rate), now))
      return &it->second;
    return nullptr;
  }
  auto bucket = TokenBucket::create(part(rate), now);
  if (!bucket)
    return nullptr;
  const auto added = Shares.emplace(std::string(account), Share{rate, *bucket});
  return &added.first->second;
}

void AccountShares::prepare(std::string_view account, const AccountRate &rate,
                            core::TimePoint now) {
  if (rate.PerSecond > 0)
    find(account, rate, now);
}

bool AccountShares::take(std::string_view account, const AccountRate &rate,
                         core::TimePoint now) {
  if (rate.PerSecond <= 0)
    return true;
  Share *share = find(account, rate, now);
  if (share == nullptr)
    return false;
  share->Bucket.refill(now);
  return share->Bucket.take(1) == 1;
}

std::uint32_t AccountShares::lend(std::string_view account, std::uint32_t most,
                                  core::TimePoint now) {
  const auto it = Shares.find(std::string(account));
  if (it == Shares.end())
    return 0;
  TokenBucket &bucket = it->second.Bucket;
  bucket.refill(now);
  const std::uint32_t half = (bucket.available() + 1) / 2;
  return bucket.take(std::min(most, half));
}

void AccountShares::receive(std::string_view account, std::uint32_t lent,
                            core::TimePoint now) {
  const auto it = Shares.find(std::string(account));
  if (it == Shares.end())
    return;
  TokenBucket &bucket = it->second.Bucket;
  bucket.refill(now);
  bucket.setLevel(bucket.level() + lent * NanoTokensPerToken);
}

std::uint32_t AccountShares::wanted(std::string_view account) const {
  const auto it = Shares.find(std::string(account));
  if (it == Shares.end())
    return 0;
  const double room = it->second.Bucket.rate().Burst;
  return std::max(1U, static_cast<std::uint32_t>(room * BorrowedPart));
}

core::Duration AccountShares::untilNext(std::string_view account) const {
  const auto it = Shares.find(std::string(account));
  return it == Shares.end() ? core::Duration{} : it->second.Bucket.untilNext();
}

} // namespace acaciaroad::accounts
