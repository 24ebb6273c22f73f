/// \file
/// The client accounts that one instance owns and grants credit for.

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

/// Grants credit for the client accounts that this instance owns. An account
/// may be owned only while the instance holds the lease of the account's slice;
/// the caller must drop the ownership before that lease expires.
class CreditOwner {
public:
  /// Takes ownership after a takeover, without the former owner's state. Grants
  /// start after CreditExpiry, when all credit of a former owner has expired,
  /// with an empty bucket. Fails with InvalidArgument for a rate out of range
  /// and with Conflict if the account is already owned.
  core::Result<void> takeOwnership(std::string_view account, AccountRate rate,
                                   core::TimePoint now);

  /// Takes ownership in a planned move, with the state of the former owner.
  /// Fails as above.
  core::Result<void> takeOwnership(const CreditHandover &handover,
                                   AccountRate rate, core::TimePoint now);

  /// Changes the rate of an owned account. Fails with NotFound for an account
  /// that is not owned and with InvalidArgument for a rate out of range.
  core::Result<void> change(std::string_view account, AccountRate rate,
                            core::TimePoint now);

  /// Removes the account; later asks are answered with NotOwner.
  void dropOwnership(std::string_view account);

  /// Removes an account for a planned move and returns its state. Fails with
  /// NotFound if it is not owned, and with CreditUnavailable while credit of an
  /// unknown former owner may not have expired.
  core::Result<CreditHandover> handOver(std::string_view account,
                                        core::TimePoint now);

  /// Answers an ask, with NotOwner if the account is not owned.
  CreditGrant handleAsk(const CreditAsk &ask, core::TimePoint now);

  /// Applies settlements; ignores accounts that are not owned.
  void handleReturn(const CreditReturn &message, core::TimePoint now);

  bool owns(std::string_view account) const;

  /// Returns an owned account, or null if it is not owned.
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
