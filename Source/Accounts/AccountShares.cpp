#include "Accounts/AccountShares.h"

#include <algorithm>
#include <span>
#include <utility>

#include "Core/Identifiers.h"

namespace acaciaroad::accounts {

namespace {

/// Fraction of a share's burst to borrow in one round trip: several requests at
/// once, while the lender keeps most of its tokens.
constexpr double BorrowFraction = 0.25;

/// Fraction of the burst that is granted as additional rate over the window
/// instead of as bucket capacity.
constexpr double BurstFractionAsRate = 0.5;

/// Tokens that a share of a small account holds at least. A share of one token
/// loses what it would gain while it is full, and many shares take long to
/// search.
constexpr double TokensPerShare = 3;

/// Least number of shares, because some of their nodes may be down or
/// partitioned. Each one holds one request at least.
constexpr std::size_t MinShares = 6;

/// Bounds the time that a caller is told to wait, for rates in requests per
/// second.
constexpr double MinRate = 0.1;

/// Bucket capacity, in requests, of a node that has no share of its own.
constexpr double BorrowerBurst = 8;

} // namespace

void AccountShares::setNodes(std::vector<std::string> names,
                             std::string_view self, core::TimePoint now) {
  if (names == Nodes && self == Self)
    return;
  Nodes = std::move(names);
  Self = self;
  OtherNodes = Nodes;
  std::erase(OtherNodes, Self);
  for (auto &[name, it] : Shares)
    assignShare(name, it, now);
}

std::size_t AccountShares::shareCountFor(const AccountRate &fleetRate) const {
  const std::size_t nodes = std::max<std::size_t>(1, Nodes.size());
  const double capacity = fleetRate.Burst * (1 - BurstFractionAsRate);
  if (capacity >= static_cast<double>(nodes))
    return nodes;
  const auto shares =
      static_cast<std::size_t>(std::max(0.0, capacity / TokensPerShare));
  return std::min(nodes, std::max(shares, MinShares));
}

std::vector<std::string> AccountShares::rankNodes(std::string_view account,
                                                  std::size_t n) const {
  std::vector<std::pair<std::uint64_t, const std::string *>> ranked;
  for (const std::string &it : Nodes)
    ranked.emplace_back(
        core::hashOf(std::string(account).append("/").append(it)), &it);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(n),
                    ranked.end());
  std::vector<std::string> out;
  for (const auto &[hash, name] : std::span(ranked).first(n))
    out.push_back(*name);
  return out;
}

AccountRate AccountShares::shareRate(const AccountRate &fleetRate,
                                     std::size_t shareCount,
                                     bool ownsShare) const {
  if (!ownsShare)
    return {0, BorrowerBurst};
  const std::chrono::duration<double> window =
      std::max<core::Duration>(Window, std::chrono::seconds(1));
  const auto n = static_cast<double>(shareCount);
  const double burstAsRate = fleetRate.Burst * BurstFractionAsRate;
  const double rate = fleetRate.PerSecond + burstAsRate / window.count();
  // A bucket with a capacity below one request would never admit any.
  return {rate / n, std::max(1.0, (fleetRate.Burst - burstAsRate) / n)};
}

void AccountShares::assignShare(std::string_view account, Share &share,
                                core::TimePoint now) {
  const std::size_t shareCount = shareCountFor(share.FleetRate);
  share.IsOnAllNodes = shareCount >= Nodes.size();
  share.Lenders.clear();
  if (!share.IsOnAllNodes)
    share.Lenders = rankNodes(account, shareCount);
  share.HasShare = std::erase(share.Lenders, Self) > 0 || share.IsOnAllNodes;
  // Cannot fail: create() accepted the rate, and shareRate() keeps it valid.
  static_cast<void>(share.Bucket.change(
      shareRate(share.FleetRate, shareCount, share.HasShare), now));
}

AccountShares::Share *AccountShares::findOrAdd(std::string_view account,
                                               const AccountRate &rate,
                                               core::TimePoint now) {
  const auto it = Shares.find(std::string(account));
  if (it != Shares.end()) {
    if (!(it->second.FleetRate == rate)) {
      it->second.FleetRate = rate;
      assignShare(account, it->second, now);
    }
    return &it->second;
  }
  auto bucket = TokenBucket::create(shareRate(rate, 1, true), now);
  if (!bucket)
    return nullptr;
  const auto added = Shares.emplace(std::string(account),
                                    Share{rate, *bucket, true, true, {}});
  assignShare(account, added.first->second, now);
  return &added.first->second;
}

bool AccountShares::hasShare(std::string_view account) const {
  const auto it = Shares.find(std::string(account));
  return it != Shares.end() && it->second.HasShare;
}

std::span<const std::string>
AccountShares::lenders(std::string_view account) const {
  const auto it = Shares.find(std::string(account));
  if (it == Shares.end())
    return {};
  return it->second.IsOnAllNodes ? OtherNodes : it->second.Lenders;
}

void AccountShares::prepare(std::string_view account, const AccountRate &rate,
                            core::TimePoint now) {
  if (rate.PerSecond > 0)
    findOrAdd(account, rate, now);
}

bool AccountShares::take(std::string_view account, const AccountRate &rate,
                         core::TimePoint now) {
  if (rate.PerSecond <= 0)
    return true;
  Share *share = findOrAdd(account, rate, now);
  if (share == nullptr)
    return false;
  share->Bucket.refill(now);
  return share->Bucket.take(1) == 1;
}

std::uint32_t AccountShares::lend(std::string_view account, std::uint32_t limit,
                                  core::TimePoint now) {
  const auto it = Shares.find(std::string(account));
  if (it == Shares.end())
    return 0;
  TokenBucket &bucket = it->second.Bucket;
  bucket.refill(now);
  const std::uint32_t half = (bucket.available() + 1) / 2;
  return bucket.take(std::min(limit, half));
}

void AccountShares::addBorrowed(std::string_view account, std::uint32_t lent,
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
  if (!it->second.HasShare)
    return 1; // Unused borrowed tokens would be unavailable to other nodes.
  const double capacity = it->second.Bucket.rate().Burst;
  return std::max(1U, static_cast<std::uint32_t>(capacity * BorrowFraction));
}

core::Duration AccountShares::timeUntilNext(std::string_view account) const {
  const auto it = Shares.find(std::string(account));
  if (it == Shares.end())
    return {};
  if (it->second.HasShare)
    return it->second.Bucket.timeUntilNext();
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(
          1 / std::max(MinRate, it->second.FleetRate.PerSecond)));
}

} // namespace acaciaroad::accounts
