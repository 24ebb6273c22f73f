/// \file
/// One node's part of the rate of each client account.

#ifndef ACACIAROAD_ACCOUNTS_ACCOUNTSHARES_H
#define ACACIAROAD_ACCOUNTS_ACCOUNTSHARES_H

#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Accounts/TokenBucket.h"
#include "Core/Clock.h"

namespace acaciaroad::accounts {

/// Divides rate and burst of each account evenly among nodes, so that the sum
/// holds whoever is cut off. All nodes have a share of a large account. One
/// whose burst is smaller than the fleet has as many home nodes as whole
/// requests, chosen by rendezvous hashing, since no share can hold less than
/// one request. A node that has used up its share, or has none, may borrow: the
/// lender gives up what it lends first, so that lost messages only lose
/// requests, and no room beyond the share is ever filled.
///
/// An account may have rate x window + burst requests in any window. Half of
/// the burst is spread over the window as rate; the rest is the bucket's room.
class AccountShares {
public:
  /// \p window is the time over which operators measure accounts.
  explicit AccountShares(core::Duration window) : Window(window) {}

  /// Sets the nodes that serve callers, \p self among them.
  void setNodes(std::vector<std::string> names, std::string_view self,
                core::TimePoint now);

  /// Starts to fill the share of \p account, ahead of its first request.
  void prepare(std::string_view account, const AccountRate &rate,
               core::TimePoint now);

  /// Takes one request of \p account, whose limits over the whole fleet are
  /// \p rate. Returns whether it is within the share; always for a rate of 0.
  bool take(std::string_view account, const AccountRate &rate,
            core::TimePoint now);

  /// Takes up to \p limit requests out of the share for another node, at most
  /// half of what it holds unless that is one; returns how many.
  std::uint32_t lend(std::string_view account, std::uint32_t limit,
                     core::TimePoint now);

  /// Adds what another node has lent; what finds no room is lost.
  void addBorrowed(std::string_view account, std::uint32_t lent,
                   core::TimePoint now);

  /// Puts a request back that was taken and has not run.
  void giveBack(std::string_view account, core::TimePoint now) {
    addBorrowed(account, 1, now);
  }

  /// Returns the names of the other nodes that have a share of \p account.
  std::span<const std::string> lenders(std::string_view account) const;

  /// Whether this node has a share of its own of \p account.
  bool hasShare(std::string_view account) const;

  /// Returns how many requests a node that has used up its share asks for: a
  /// part of what the share has room for.
  std::uint32_t wanted(std::string_view account) const;

  /// Returns the time until the share of \p account holds another request.
  core::Duration timeUntilNext(std::string_view account) const;

private:
  struct Share {
    AccountRate FleetRate;
    TokenBucket Bucket;
    /// This node has a share of its own.
    bool HasShare = true;
    /// All nodes have one.
    bool IsOnAllNodes = true;
    /// The other nodes with a share, unless it is everywhere.
    std::vector<std::string> Lenders;
  };

  std::size_t shareCountFor(const AccountRate &fleetRate) const;
  /// Names of the \p n nodes that rank first for an account.
  std::vector<std::string> rankNodes(std::string_view account,
                                     std::size_t n) const;
  AccountRate shareRate(const AccountRate &fleetRate, std::size_t shareCount,
                        bool ownsShare) const;
  void assignShare(std::string_view account, Share &share, core::TimePoint now);
  Share *findOrAdd(std::string_view account, const AccountRate &rate,
                   core::TimePoint now);

  core::Duration Window;
  std::vector<std::string> Nodes;
  std::string Self;
  std::vector<std::string> OtherNodes;
  std::unordered_map<std::string, Share> Shares;
};

} // namespace acaciaroad::accounts

#endif
