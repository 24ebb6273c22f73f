/// \file
/// The grants of one account that a node holds.

#ifndef ACACIAROAD_ACCOUNTS_HELDCREDIT_H
#define ACACIAROAD_ACCOUNTS_HELDCREDIT_H

#include <cstdint>
#include <optional>
#include <vector>

#include "Accounts/CreditMessages.h"
#include "Core/Clock.h"

namespace acaciaroad::accounts {

/// Spends grants in order of expiry and records which of them are closed.
class HeldCredit {
public:
  /// Adds a grant that was asked for at \p askedAt. One that has expired on the
  /// way, or is empty, is not held.
  void add(const CreditGrant &grant, core::TimePoint askedAt,
           core::TimePoint now);

  /// Takes one request; returns false without unexpired credit.
  bool take(core::TimePoint now);

  /// Returns the requests that can be taken at \p now.
  std::uint32_t available(core::TimePoint now) const;

  /// Closes grants that are close to their expiry, so that what is left of them
  /// returns to the account.
  void closeNearExpiry(core::TimePoint now);

  /// Closes all grants.
  void closeAll(core::TimePoint now);

  /// Returns the closed grants and forgets them.
  std::vector<CreditSettlement> takeSettled();

  bool hasSettled() const;

  /// Returns when `closeNearExpiry` has something to do next.
  std::optional<core::TimePoint> nextCloseTime() const;

private:
  struct Grant {
    AskId Ask = 0;
    std::uint32_t Remaining = 0;
    core::TimePoint ReturnAt{};
    core::TimePoint Expires{};
  };

  void dropExpired(core::TimePoint now);
  void closeFirst();

  std::vector<Grant> Grants;
  std::vector<CreditSettlement> Settled;
};

} // namespace acaciaroad::accounts

#endif
