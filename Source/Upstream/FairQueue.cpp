#include "Upstream/FairQueue.h"

#include <algorithm>

namespace acaciaroad::upstream {

namespace {

constexpr core::Duration MinCost = std::chrono::microseconds(1);
/// Maximum absolute deficit of an account, in quanta.
constexpr int MaxDeficitQuanta = 64;

} // namespace

core::Result<FairQueue> FairQueue::create(FairQueueLimits limits,
                                          DropFunction onDrop) {
  if (limits.PerAccount == 0 || limits.Total == 0)
    return core::fail(
        core::ErrorKind::InvalidArgument,
        "the queue limits per account and in total must not be 0");
  return FairQueue(limits, std::move(onDrop));
}

FairQueue::FairQueue(FairQueueLimits limits, DropFunction onDrop)
    : Limits(limits), OnDrop(std::move(onDrop)) {}

bool FairQueue::push(std::string_view account, const QueuedRequest &request) {
  if (size(account) >= Limits.PerAccount || !makeRoom(account))
    return false;
  Account &owner = activate(account);
  ClassQueue &queue = findOrAddClassQueue(owner, request.Class);
  Entry entry{request, NextSequence++};
  entry.Request.Cost = std::max(MinCost, request.Cost);
  queue.Entries.push_back(entry);
  Positions[request.Id] = {&owner, std::prev(queue.Entries.end())};
  ByLatestStart.emplace(request.LatestStart, request.Id);
  owner.Work += entry.Request.Cost;
  Work += entry.Request.Cost;
  setLength(owner, owner.Length + 1);
  return true;
}

bool FairQueue::makeRoom(std::string_view account) {
  if (size() < Limits.Total)
    return true;
  Account *longest = ByLength.rbegin()->second;
  if (size(account) + 1 >= longest->Length)
    return false;
  const Ticket dropped = newestOf(*longest);
  erase(dropped);
  if (OnDrop)
    OnDrop(dropped);
  return true;
}

FairQueue::Account &FairQueue::activate(std::string_view name) {
  const auto it = Accounts.find(name);
  if (it != Accounts.end())
    return it->second;
  Account &account = Accounts[std::string(name)];
  account.Name = name;
  account.ActivePosition =
      ActiveAccounts.insert(ActiveAccounts.end(), &account);
  ByLength.emplace(0, &account);
  return account;
}

FairQueue::ClassQueue &FairQueue::findOrAddClassQueue(Account &account,
                                                      ClassIndex workClass) {
  const auto it =
      std::find_if(account.Classes.begin(), account.Classes.end(),
                   [&](const ClassQueue &q) { return q.Class == workClass; });
  if (it != account.Classes.end())
    return *it;
  return account.Classes.emplace_back(ClassQueue{workClass, {}});
}

FairQueue::ClassQueue &FairQueue::nextClassQueue(Account &account) {
  while (account.Classes[account.NextClass].Entries.empty())
    account.NextClass = (account.NextClass + 1) % account.Classes.size();
  return account.Classes[account.NextClass];
}

Ticket FairQueue::newestOf(const Account &account) {
  Ticket newest = 0;
  std::uint64_t sequence = 0;
  for (const ClassQueue &queue : account.Classes) {
    if (queue.Entries.empty() || queue.Entries.back().Sequence < sequence)
      continue;
    newest = queue.Entries.back().Request.Id;
    sequence = queue.Entries.back().Sequence;
  }
  return newest;
}

std::optional<Ticket> FairQueue::pop() {
  const core::Duration share = quantum();
  while (!ActiveAccounts.empty()) {
    Account &account = *ActiveAccounts.front();
    if (!account.HasQuantum)
      account.Deficit += share;
    account.HasQuantum = true;
    const QueuedRequest &head = nextClassQueue(account).Entries.front().Request;
    // Bounded, because a cost far beyond the quantum would keep the loop
    // running.
    const core::Duration cost = std::min(head.Cost, share * MaxDeficitQuanta);
    if (cost <= account.Deficit) {
      const Ticket id = head.Id;
      account.Deficit -= cost;
      account.NextClass = (account.NextClass + 1) % account.Classes.size();
      erase(id);
      return id;
    }
    account.HasQuantum = false;
    ActiveAccounts.splice(ActiveAccounts.end(), ActiveAccounts,
                          ActiveAccounts.begin());
  }
  return std::nullopt;
}

bool FairQueue::remove(Ticket id) {
  if (!Positions.contains(id))
    return false;
  erase(id);
  return true;
}

void FairQueue::erase(Ticket id) {
  const auto it = Positions.find(id);
  Account &account = *it->second.Owner;
  const QueuedRequest request = it->second.Where->Request;
  findOrAddClassQueue(account, request.Class).Entries.erase(it->second.Where);
  Positions.erase(it);
  ByLatestStart.erase({request.LatestStart, id});
  account.Work -= request.Cost;
  Work -= request.Cost;
  setLength(account, account.Length - 1);
  if (account.Length > 0)
    return;
  // An account without waiting requests keeps no deficit.
  ByLength.erase({0, &account});
  ActiveAccounts.erase(account.ActivePosition);
  Accounts.erase(Accounts.find(account.Name));
}

void FairQueue::setLength(Account &account, std::uint32_t length) {
  ByLength.erase({account.Length, &account});
  account.Length = length;
  ByLength.emplace(length, &account);
}

std::optional<Ticket> FairQueue::popExpired(core::TimePoint now) {
  if (ByLatestStart.empty() || ByLatestStart.begin()->first > now)
    return std::nullopt;
  const Ticket id = ByLatestStart.begin()->second;
  erase(id);
  return id;
}

std::optional<core::TimePoint> FairQueue::nextExpiry() const {
  if (ByLatestStart.empty())
    return std::nullopt;
  return ByLatestStart.begin()->first;
}

void FairQueue::charge(std::string_view account, core::Duration excess) {
  const auto it = Accounts.find(account);
  if (it == Accounts.end())
    return;
  const core::Duration bound = quantum() * MaxDeficitQuanta;
  it->second.Deficit = std::clamp(it->second.Deficit - excess, -bound, bound);
}

core::Duration FairQueue::workAhead(std::string_view account,
                                    core::Duration cost) const {
  const Account *own = find(account);
  const core::Duration ownWork = own ? own->Work : core::Duration::zero();
  const auto others =
      static_cast<std::int64_t>(Accounts.size() - (own ? 1U : 0U));
  // Until then each other account is served as much as this one, or completely
  // if it has less work.
  const core::Duration fairShare = (ownWork + cost + quantum()) * others;
  return ownWork + std::min(Work - ownWork, fairShare);
}

const FairQueue::Account *FairQueue::find(std::string_view name) const {
  const auto it = Accounts.find(name);
  return it == Accounts.end() ? nullptr : &it->second;
}

core::Duration FairQueue::quantum() const {
  if (Positions.empty())
    return MinCost;
  return Work / static_cast<std::int64_t>(Positions.size());
}

std::uint32_t FairQueue::size() const {
  return static_cast<std::uint32_t>(Positions.size());
}

std::uint32_t FairQueue::size(std::string_view account) const {
  const Account *it = find(account);
  return it ? it->Length : 0;
}

} // namespace acaciaroad::upstream
