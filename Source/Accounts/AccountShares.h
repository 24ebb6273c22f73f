/// \file
/// One node's part of the rate of each client account.

#ifndef ACACIAROAD_ACCOUNTS_ACCOUNTSHARES_H
#define ACACIAROAD_ACCOUNTS_ACCOUNTSHARES_H

#include <string>
#include <string_view>
#include <unordered_map>

#include "Accounts/TokenBucket.h"
#include "Core/Clock.h"

namespace acaciaroad::accounts {

/// Divides rate and burst of each account evenly among the nodes, so that the
/// sum holds whoever is cut off. A node that has used up its share may borrow:
/// the lender gives up what it lends first, so that lost messages only lose
/// requests, and no room beyond the share is ever filled.
///
/// An account may have rate x window + burst requests in any window. Half of
/// the burst is spread over the window as rate; the rest is the bucket's room.
class AccountShares {
public:
  /// \p window is the time over which operators measure accounts.
  explicit AccountShares(core::Duration window) : Window(window) {}

  /// Sets the number of nodes that serve callers, at least 1.
  void setNodes(std::size_t nodes, core::TimePoint now);

  /// Starts to fill the share of \p account, ahead of its first request.
  void prepare(std::string_view account, const AccountRate &rate,
               core::TimePoint now);

  /// Takes one request of \p account, whose limits over the whole fleet are
  /// \p rate. Returns whether it is within the share; always for a rate of 0.
  bool take(std::string_view account, const AccountRate &rate,
            core::TimePoint now);

  /// Takes up to \p most requests out of the share for another node, at most
  /// half of what it holds unless that is one; returns how many.
  std::uint32_t lend(std::string_view account, std::uint32_t most,
                     core::TimePoint now);

  /// Adds what another node has lent; what finds no room is lost.
  void receive(std::string_view account, std::uint32_t lent,
               core::TimePoint now);

  /// Puts a request back that was taken and has not run.
  void giveBack(std::string_view account, core::TimePoint now) {
    receive(account, 1, now);
  }

  /// Returns how many requests a node that has used up its share asks for: a
  /// part of what the share has room for.
  std::uint32_t wanted(std::string_view account) const;

  /// Returns the time until the share of \p account holds another request.
  core::Duration untilNext(std::string_view account) const;

private:
  struct Share {
    AccountRate Whole;
    TokenBucket Bucket;
  };

  AccountRate part(const AccountRate &whole) const;
  Share *find(std::string_view account, const AccountRate &rate,
              core::TimePoint now);

  core::Duration Window;
  double Nodes = 1;
  std::unordered_map<std::string, Share> Shares;
};

} // namespace acaciaroad::accounts

#endif
