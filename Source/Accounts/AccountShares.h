/// \file
/// This node's share of the rate limit of each client account.

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

/// Divides the rate and burst of each client account evenly among the nodes, so
/// that the fleet-wide limit holds during any network partition. Every node has
/// a share of a large account. If the bucket capacity that is divided holds
/// fewer whole requests than there are nodes, only some nodes get a share,
/// chosen by rendezvous hashing: a share below one request is useless.
///
/// A node whose share is exhausted, or that has none, may borrow tokens. The
/// lender deducts them before it replies, so a lost message loses tokens but
/// never creates any. Borrowed tokens beyond the bucket's capacity are
/// discarded.
///
/// The limit is rate x window + burst requests in any window. Half of the burst
/// is granted as additional rate over the window, the rest is the capacity of
/// the buckets.
class AccountShares {
public:
  /// \p window is the period over which operators measure the rate of an
  /// account.
  explicit AccountShares(core::Duration window) : Window(window) {}

  /// Sets the names of the nodes that accept requests, including this node,
  /// \p self, and recomputes all shares.
  void setNodes(std::vector<std::string> names, std::string_view self,
                core::TimePoint now);

  /// Creates the bucket of \p account before its first request, so that it
  /// starts to fill. Does nothing for a rate of 0.
  void prepare(std::string_view account, const AccountRate &rate,
               core::TimePoint now);

  /// Takes one token for a request of \p account. \p rate is the limit of the
  /// whole fleet. Returns true if the share had a token, or if the rate is 0,
  /// which means no limit.
  bool take(std::string_view account, const AccountRate &rate,
            core::TimePoint now);

  /// Takes up to \p limit tokens from the share for another node, at most half
  /// of the available ones, rounded up. Returns the number taken.
  std::uint32_t lend(std::string_view account, std::uint32_t limit,
                     core::TimePoint now);

  /// Adds \p lent tokens from another node, up to the capacity of the bucket.
  void addBorrowed(std::string_view account, std::uint32_t lent,
                   core::TimePoint now);

  /// Returns the token of a request that was not executed.
  void giveBack(std::string_view account, core::TimePoint now) {
    addBorrowed(account, 1, now);
  }

  /// Returns the names of the other nodes that have a share of \p account; none
  /// for an account that was never prepared or taken from.
  std::span<const std::string> lenders(std::string_view account) const;

  /// Returns whether this node has a share of \p account.
  bool hasShare(std::string_view account) const;

  /// Returns how many tokens to borrow in one round: a fraction of the share's
  /// burst, or 1 without a share.
  std::uint32_t wanted(std::string_view account) const;

  /// Returns the time until the share of \p account holds a whole token.
  /// Without a share, the mean time until the whole fleet gets one.
  core::Duration timeUntilNext(std::string_view account) const;

private:
  struct Share {
    /// Limit of the account over the whole fleet.
    AccountRate FleetRate;
    TokenBucket Bucket;
    /// False if this node only holds borrowed tokens.
    bool HasShare = true;
    bool IsOnAllNodes = true;
    /// The other nodes with a share; empty if all nodes have one.
    std::vector<std::string> Lenders;
  };

  /// Returns how many nodes get a share of an account.
  std::size_t shareCountFor(const AccountRate &fleetRate) const;
  /// Returns the \p n nodes that rank first for \p account by rendezvous
  /// hashing.
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
