/// \file
/// Messages between the owner of a client account and the nodes that hold
/// credit for it. All are idempotent: a lost, duplicated or reordered message
/// never creates credit.

#ifndef ACACIAROAD_ACCOUNTS_CREDITMESSAGES_H
#define ACACIAROAD_ACCOUNTS_CREDITMESSAGES_H

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"

namespace acaciaroad::accounts {

/// Sequence number of an ask, unique per holder.
using AskId = std::uint64_t;

/// Reports that a holder has closed a grant and spends no more of it.
struct CreditSettlement {
  AskId Ask = 0;
  /// Granted requests that were not admitted.
  std::uint32_t Unspent = 0;
  bool operator==(const CreditSettlement &) const = default;
};

/// A holder's request for credit to the owner of a client account.
struct CreditAsk {
  core::InstanceId Holder;
  AskId Id = 0;
  std::string Account;
  /// Requests that are waiting for the answer.
  std::uint32_t Needed = 0;
  /// Further credit, in requests, to prefetch for expected demand.
  std::uint32_t Wanted = 0;
  std::vector<CreditSettlement> Settled;
  bool operator==(const CreditAsk &) const = default;
};

enum class CreditStatus : std::uint8_t {
  /// Some credit was granted, possibly less than needed.
  Granted,
  /// Nothing was granted: the account is over its rate.
  Exhausted,
  /// A new owner can't refuse requests yet: credit of the former owner may not
  /// have expired, or the bucket has only started to fill.
  NotReady,
  /// The asked instance does not own the account.
  NotOwner,
};

/// The owner's answer to an ask.
struct CreditGrant {
  AskId Id = 0;
  std::string Account;
  CreditStatus Status = CreditStatus::NotOwner;
  /// Requests that the holder may admit.
  std::uint32_t Amount = 0;
  /// Lifetime of the credit, from the time of the ask.
  core::Duration Lifetime{};
  /// Time until another ask may succeed; zero if immediately.
  core::Duration RetryAfter{};
  bool operator==(const CreditGrant &) const = default;
};

/// Settles grants without an ask for more credit.
struct CreditReturn {
  core::InstanceId Holder;
  std::string Account;
  std::vector<CreditSettlement> Settled;
  bool operator==(const CreditReturn &) const = default;
};

/// A grant that is neither settled nor expired when its account moves.
struct OutstandingCredit {
  core::InstanceId Holder;
  AskId Ask = 0;
  std::uint32_t Amount = 0;
  core::Duration Remaining{};
  bool operator==(const OutstandingCredit &) const = default;
};

/// State that the old owner of an account hands to the new one in a planned
/// move. The old owner grants nothing afterwards.
struct CreditHandover {
  std::string Account;
  /// Level of the token bucket in billionths of a request.
  std::int64_t Level = 0;
  std::vector<OutstandingCredit> Outstanding;
  bool operator==(const CreditHandover &) const = default;
};

} // namespace acaciaroad::accounts

#endif
