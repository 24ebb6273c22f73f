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

/// Divides rate and burst of each account evenly among the nodes, so that no
/// node has to ask another and the sum holds whoever is cut off.
class AccountShares {
public:
  /// Sets the number of nodes that serve callers, at least 1.
  void setNodes(std::size_t nodes, core::TimePoint now);

  /// Starts to fill the share of \p account, ahead of its first request.
  void prepare(std::string_view account, const AccountRate &rate,
               core::TimePoint now);

  /// Takes one request of \p account, whose limits over the whole fleet are
  /// \p rate. Returns whether it is within the share; always for a rate of 0.
  bool take(std::string_view account, const AccountRate &rate,
            core::TimePoint now);

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

  double Nodes = 1;
  std::unordered_map<std::string, Share> Shares;
};

} // namespace acaciaroad::accounts

#endif
