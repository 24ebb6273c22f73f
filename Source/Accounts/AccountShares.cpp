#include "Accounts/AccountShares.h"

#include <algorithm>
#include <span>
#include <utility>

#include "Core/Identifiers.h"

namespace acaciaroad::accounts {

namespace {

/// Part of a share's room that is borrowed at once: several requests for one
/// round trip, while the lender keeps most of its own.
constexpr double BorrowedPart = 0.25;

/// Part of the burst that is spread over the window.
constexpr double SpreadPart = 0.5;

/// Nodes with a share of a small account beyond its room: some may be lost or
/// cut off. Each adds one request to what may come at once.
constexpr std::size_t SpareHomes = 4;

/// Requests that a node without a share can hold at once.
constexpr double BorrowedRoom = 8;

} // namespace

void AccountShares::setNodes(std::vector<std::string> names,
                             std::string_view self, core::TimePoint now) {
  if (names == Nodes && self == Self)
    return;
  Nodes = std::move(names);
  Self = self;
  Others = Nodes;
  std::erase(Others, Self);
  for (auto &[name, it] : Shares)
    place(name, it, now);
}

std::size_t AccountShares::homesFor(const AccountRate &whole) const {
  const std::size_t nodes = std::max<std::size_t>(1, Nodes.size());
  const double room = whole.Burst * (1 - SpreadPart);
  if (room >= static_cast<double>(nodes))
    return nodes;
  return std::min(nodes,
                  static_cast<std::size_t>(std::max(0.0, room)) + SpareHomes);
}

std::vector<std::string> AccountShares::rank(std::string_view account,
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

AccountRate AccountShares::part(const AccountRate &whole, std::size_t homes,
                                bool isHome) const {
  if (!isHome)
    return {0, BorrowedRoom};
  const std::chrono::duration<double> window =
      std::max<core::Duration>(Window, std::chrono::seconds(1));
  const auto n = static_cast<double>(homes);
  const double spread = whole.Burst * SpreadPart;
  const double rate = whole.PerSecond + spread / window.count();
  // A bucket that holds less than one request never lets any through.
  return {rate / n, std::max(1.0, (whole.Burst - spread) / n)};
}

void AccountShares::place(std::string_view account, Share &share,
                          core::TimePoint now) {
  const std::size_t homes = homesFor(share.Whole);
  share.IsEverywhere = homes >= Nodes.size();
  share.Lenders.clear();
  if (!share.IsEverywhere)
    share.Lenders = rank(account, homes);
  share.IsHome = std::erase(share.Lenders, Self) > 0 || share.IsEverywhere;
  // The bounds were valid when the share was made, and part() keeps them so.
  static_cast<void>(
      share.Bucket.change(part(share.Whole, homes, share.IsHome), now));
}

AccountShares::Share *AccountShares::find(std::string_view account,
                                          const AccountRate &rate,
                                          core::TimePoint now) {
  const auto it = Shares.find(std::string(account));
  if (it != Shares.end()) {
    if (!(it->second.Whole == rate)) {
      it->second.Whole = rate;
      place(account, it->second, now);
    }
    return &it->second;
  }
  auto bucket = TokenBucket::create(part(rate, 1, true), now);
  if (!bucket)
    return nullptr;
  const auto added = Shares.emplace(std::string(account),
                                    Share{rate, *bucket, true, true, {}});
  place(account, added.first->second, now);
  return &added.first->second;
}

bool AccountShares::hasShare(std::string_view account) const {
  const auto it = Shares.find(std::string(account));
  return it != Shares.end() && it->second.IsHome;
}

std::span<const std::string>
AccountShares::lenders(std::string_view account) const {
  const auto it = Shares.find(std::string(account));
  if (it == Shares.end())
    return {};
  return it->second.IsEverywhere ? Others : it->second.Lenders;
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
  if (!it->second.IsHome)
    return 1; // More would be out of the others' reach.
  const double room = it->second.Bucket.rate().Burst;
  return std::max(1U, static_cast<std::uint32_t>(room * BorrowedPart));
}

core::Duration AccountShares::untilNext(std::string_view account) const {
  const auto it = Shares.find(std::string(account));
  return it == Shares.end() ? core::Duration{} : it->second.Bucket.untilNext();
}

} // namespace acaciaroad::accounts
