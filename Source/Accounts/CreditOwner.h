/// \file
/// The client accounts whose credit one instance gives out.

#ifndef ACACIAROAD_ACCOUNTS_CREDITOWNER_H
#define ACACIAROAD_ACCOUNTS_CREDITOWNER_H

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Accounts/CreditAccount.h"
#include "Accounts/CreditMessages.h"
#include "Accounts/TokenBucket.h"
#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::accounts {

/// Grants credit on the accounts that this instance owns. The caller calls it
/// only while the instance holds the lease of an account's slice, and disowns
/// the account before the lease lapses.
class CreditOwner {
public:
  /// Becomes the owner. It starts with nothing, and only after the longest
  /// credit of a former owner has expired. Fails with InvalidArgument for a
  /// rate out of range and Conflict for an account already owned.
  core::Result<void> takeOwnership(std::string_view account, AccountRate rate,
                                   core::TimePoint now);

  /// Becomes the owner by a planned move, with the state of the former owner.
  core::Result<void> takeOwnership(const CreditHandover &handover,
                                   AccountRate rate, core::TimePoint now);

  /// Changes the rate of an owned account. Fails with NotFound.
  core::Result<void> change(std::string_view account, AccountRate rate,
                            core::TimePoint now);

  /// Grants nothing on the account any more and forgets it.
  void dropOwnership(std::string_view account);

  /// Disowns an account for a planned move and returns its state. Fails with
  /// NotFound, and with CreditUnavailable during the wait of a new owner.
  core::Result<CreditHandover> handOver(std::string_view account,
                                        core::TimePoint now);

  /// Answers an ask; NotOwner for an account that is not owned.
  CreditGrant handleAsk(const CreditAsk &ask, core::TimePoint now);

  void handleReturn(const CreditReturn &message, core::TimePoint now);

  bool owns(std::string_view account) const;

  /// Returns an owned account, or null.
  const CreditAccount *find(std::string_view account) const;

private:
  struct NameHash {
    using is_transparent = void; // NOLINT: name fixed by the standard
    std::size_t operator()(std::string_view name) const {
      return std::hash<std::string_view>()(name);
    }
  };

  std::unordered_map<std::string, CreditAccount, NameHash, std::equal_to<>>
      Accounts;
};

} // namespace acaciaroad::accounts

#endif
