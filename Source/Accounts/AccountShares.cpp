#include "Accounts/AccountShares.h"

#include <algorithm>

namespace acaciaroad::accounts {

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
  // A bucket that holds less than one request never lets any through.
  return {whole.PerSecond / Nodes, std::max(1.0, whole.Burst / Nodes)};
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
  const auto added =
      Shares.emplace(std::string(account), Share{rate, std::move(*bucket)});
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

core::Duration AccountShares::untilNext(std::string_view account) const {
  const auto it = Shares.find(std::string(account));
  return it == Shares.end() ? core::Duration{}
                            : it->second.Bucket.untilNext();
}

} // namespace acaciaroad::accounts
