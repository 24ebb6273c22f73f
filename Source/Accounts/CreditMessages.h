/// \file
/// Messages between the holders of an account's credit and its owner. All are
/// idempotent: a duplicated, reordered or lost one never creates credit.

#ifndef ACACIAROAD_ACCOUNTS_CREDITMESSAGES_H
#define ACACIAROAD_ACCOUNTS_CREDITMESSAGES_H

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"

namespace acaciaroad::accounts {

/// Numbers the asks of one holder; never reused by it.
using AskId = std::uint64_t;

/// A holder has closed a grant and will spend nothing more of it.
struct CreditSettlement {
  AskId Ask = 0;
  /// Requests that were granted and not taken.
  std::uint32_t Unspent = 0;
  bool operator==(const CreditSettlement &) const = default;
};

/// A holder asks the owner of an account for credit.
struct CreditAsk {
  core::InstanceId Holder;
  AskId Id = 0;
  std::string Account;
  /// Requests that wait for the answer.
  std::uint32_t Needed = 0;
  /// Requests expected soon.
  std::uint32_t Wanted = 0;
  std::vector<CreditSettlement> Settled;
  bool operator==(const CreditAsk &) const = default;
};

enum class CreditStatus : std::uint8_t {
  /// The amount may still be less than what was needed.
  Granted,
  /// The account is over its rate.
  Exhausted,
  /// A new owner waits until the credit of the former owner has expired.
  NotReady,
  /// The asked instance does not own the account.
  NotOwner,
};

/// The owner's answer to one ask.
struct CreditGrant {
  AskId Id = 0;
  std::string Account;
  CreditStatus Status = CreditStatus::NotOwner;
  /// Requests that the holder may take.
  std::uint32_t Amount = 0;
  /// Lifetime of the credit, counted from the moment of asking.
  core::Duration Lifetime{};
  /// When asking again may help; zero if at once.
  core::Duration RetryAfter{};
  bool operator==(const CreditGrant &) const = default;
};

/// A holder settles grants without asking for more.
struct CreditReturn {
  core::InstanceId Holder;
  std::string Account;
  std::vector<CreditSettlement> Settled;
  bool operator==(const CreditReturn &) const = default;
};

/// Credit that is out at the moment of a planned move.
struct OutstandingCredit {
  core::InstanceId Holder;
  AskId Ask = 0;
  std::uint32_t Amount = 0;
  core::Duration Remaining{};
  bool operator==(const OutstandingCredit &) const = default;
};

/// What the old owner of an account gives to the new one in a planned move,
/// after it has stopped granting for good.
struct CreditHandover {
  std::string Account;
  /// Billionths of a request.
  std::int64_t Level = 0;
  std::vector<OutstandingCredit> Outstanding;
  bool operator==(const CreditHandover &) const = default;
};

} // namespace acaciaroad::accounts

#endif
