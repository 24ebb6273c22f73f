/// \file
/// Queue of requests for the upstream that is fair between client accounts.

#ifndef ACACIAROAD_UPSTREAM_FAIRQUEUE_H
#define ACACIAROAD_UPSTREAM_FAIRQUEUE_H

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Upstream/Offer.h"

namespace acaciaroad::upstream {

/// Index of a work class within one node.
using ClassIndex = std::uint32_t;

/// Maximum number of waiting requests.
struct FairQueueLimits {
  std::uint32_t PerAccount = 1024;
  std::uint32_t Total = 4096;
};

/// The properties of a request that decide its place in the queue.
struct QueuedRequest {
  Ticket Id = 0;
  ClassIndex Class = 0;
  /// Expected service time.
  core::Duration Cost{};
  /// A request that starts later can't meet its deadline.
  core::TimePoint LatestStart{};
};

/// Deficit round robin over client accounts, measured in expected service time;
/// round robin over the work classes of an account; FIFO within a class. Push,
/// pop and remove take O(log n + c) for n waiting requests and c work classes
/// of the account.
class FairQueue {
public:
  /// Receives requests that are dropped in favour of another account's.
  using DropFunction = std::function<void(Ticket)>;

  /// Fails with InvalidArgument if a limit is 0.
  static core::Result<FairQueue> create(FairQueueLimits limits,
                                        DropFunction onDrop);

  /// Adds a request. If the whole queue is full, the newest request of the
  /// account with the most waiting requests is dropped to make room. Returns
  /// false if the account's queue is full, or if the whole queue is full and \p
  /// account itself would then have the most waiting requests.
  bool push(std::string_view account, const QueuedRequest &request);

  /// Removes and returns the next request in fair order.
  std::optional<Ticket> pop();

  /// Removes a request; returns whether it was in the queue.
  bool remove(Ticket id);

  /// Removes and returns a request whose latest start has passed, if any.
  std::optional<Ticket> popExpired(core::TimePoint now);

  /// Returns the earliest latest start of all waiting requests, if any.
  std::optional<core::TimePoint> nextExpiry() const;

  /// Corrects an account's deficit once the service time of one of its requests
  /// is known. \p excess is the actual minus the expected time; may be
  /// negative.
  void charge(std::string_view account, core::Duration excess);

  /// Returns the expected service time of all requests that would start before
  /// a new request of \p account with the given cost.
  core::Duration workAhead(std::string_view account, core::Duration cost) const;

  std::uint32_t size() const;
  std::uint32_t size(std::string_view account) const;

private:
  struct Entry {
    QueuedRequest Request;
    std::uint64_t Sequence = 0;
  };
  struct ClassQueue {
    ClassIndex Class = 0;
    std::list<Entry> Entries;
  };
  struct Account {
    std::string Name;
    std::vector<ClassQueue> Classes;
    std::size_t NextClass = 0;
    std::uint32_t Length = 0;
    core::Duration Work{};
    core::Duration Deficit{};
    bool HasQuantum = false;
    std::list<Account *>::iterator ActivePosition;
  };
  struct Position {
    Account *Owner = nullptr;
    std::list<Entry>::iterator Where;
  };
  struct NameHash {
    using is_transparent = void; // NOLINT: name fixed by the standard
    std::size_t operator()(std::string_view name) const {
      return std::hash<std::string_view>()(name);
    }
  };

  FairQueue(FairQueueLimits limits, DropFunction onDrop);
  Account &activate(std::string_view name);
  static ClassQueue &findOrAddClassQueue(Account &account,
                                         ClassIndex workClass);
  static ClassQueue &nextClassQueue(Account &account);
  static Ticket newestOf(const Account &account);
  const Account *find(std::string_view name) const;
  bool makeRoom(std::string_view account);
  void setLength(Account &account, std::uint32_t length);
  void erase(Ticket id);
  core::Duration quantum() const;

  FairQueueLimits Limits;
  DropFunction OnDrop;
  std::unordered_map<std::string, Account, NameHash, std::equal_to<>> Accounts;
  std::unordered_map<Ticket, Position> Positions;
  /// Accounts with waiting requests, in round robin order.
  std::list<Account *> ActiveAccounts;
  std::set<std::pair<std::uint32_t, Account *>> ByLength;
  std::set<std::pair<core::TimePoint, Ticket>> ByLatestStart;
  core::Duration Work{};
  std::uint64_t NextSequence = 0;
};

} // namespace acaciaroad::upstream

#endif
