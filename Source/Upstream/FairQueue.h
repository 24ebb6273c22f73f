/// \file
/// Requests that wait for the upstream, shared fairly among client accounts.

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

/// Number of a class of work within one node.
using ClassIndex = std::uint32_t;

/// Bounds on the number of waiting requests.
struct FairQueueLimits {
  std::uint32_t PerAccount = 1024;
  std::uint32_t Total = 4096;
};

/// A request as the queue sees it.
struct QueuedRequest {
  Ticket Id = 0;
  ClassIndex Class = 0;
  /// Expected service time.
  core::Duration Cost{};
  /// The request is worthless if it does not start before this moment.
  core::TimePoint LatestStart{};
};

/// Deficit round robin over client accounts, in units of expected service time;
/// within an account, round robin over classes, first come first served within
/// a class. Push, pop and remove take O(log n) in the waiting requests, plus
/// the number of classes of one account.
class FairQueue {
public:
  /// Receives requests that give way to those of other accounts.
  using DropFunction = std::function<void(Ticket)>;

  /// Fails with InvalidArgument if a bound is 0.
  static core::Result<FairQueue> create(FairQueueLimits limits,
                                        DropFunction onDrop);

  /// Adds a request. If the whole queue is full, the newest request of the
  /// longest account is dropped for it. Returns false if the account's queue is
  /// full, or if the account would be the longest itself.
  bool push(std::string_view account, const QueuedRequest &request);

  /// Takes the request whose turn it is.
  std::optional<Ticket> pop();

  /// Takes out one request; returns whether it was there.
  bool remove(Ticket id);

  /// Takes a request that can no longer start in time.
  std::optional<Ticket> popExpired(core::TimePoint now);

  /// Returns when the next request expires, if any waits.
  std::optional<core::TimePoint> nextExpiry() const;

  /// Corrects an account's share once the service time of one of its requests
  /// is known: \p excess is the actual over the expected time, may be negative.
  void charge(std::string_view account, core::Duration excess);

  /// Returns the expected service time of everything that goes before a new
  /// request of \p account.
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
  /// Accounts in the order of their turns.
  std::list<Account *> ActiveAccounts;
  std::set<std::pair<std::uint32_t, Account *>> ByLength;
  std::set<std::pair<core::TimePoint, Ticket>> ByLatestStart;
  core::Duration Work{};
  std::uint64_t NextSequence = 0;
};

} // namespace acaciaroad::upstream

#endif
