/// \file
/// The grants that a node holds for one client account.

#ifndef ACACIAROAD_ACCOUNTS_HELDCREDIT_H
#define ACACIAROAD_ACCOUNTS_HELDCREDIT_H

#include <cstdint>
#include <optional>
#include <vector>

#include "Accounts/CreditMessages.h"
#include "Core/Clock.h"

namespace acaciaroad::accounts {

/// Spends grants in order of expiry and collects settlements of closed ones.
class HeldCredit {
public:
  /// Adds the grant of an ask sent at \p askedAt. Ignores it if it is empty or
  /// has already expired.
  void add(const CreditGrant &grant, core::TimePoint askedAt,
           core::TimePoint now);

  /// Spends credit for one request. Returns false if no unexpired credit is
  /// left.
  bool take(core::TimePoint now);

  /// Returns how many requests the unexpired credit allows.
  std::uint32_t available(core::TimePoint now) const;

  /// Closes grants that are close to their expiry, so that their unspent credit
  /// can be returned to the owner.
  void closeNearExpiry(core::TimePoint now);

  /// Closes all grants.
  void closeAll(core::TimePoint now);

  /// Returns the settlements of closed grants and removes them.
  std::vector<CreditSettlement> takeSettled();

  /// Returns whether `takeSettled` would return any settlement.
  bool hasSettled() const;

  /// Returns when `closeNearExpiry` must be called next; nothing without
  /// grants.
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
