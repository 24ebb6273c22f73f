#include "Accounts/CreditOwner.h"

#include <fmt/format.h>

namespace acaciaroad::accounts {

using core::ErrorKind;

core::Result<void> CreditOwner::takeOwnership(std::string_view account,
                                              AccountRate rate,
                                              core::TimePoint now) {
  if (owns(account))
    return core::fail(
        ErrorKind::Conflict,
        fmt::format("client account '{}' is already owned", account));
  auto created = CreditAccount::create(rate, now + CreditExpiry);
  if (!created)
    return tl::unexpected(created.error());
  Accounts.emplace(account, std::move(*created));
  return {};
}

core::Result<void> CreditOwner::takeOwnership(const CreditHandover &handover,
                                              AccountRate rate,
                                              core::TimePoint now) {
  if (owns(handover.Account))
    return core::fail(
        ErrorKind::Conflict,
        fmt::format("client account '{}' is already owned", handover.Account));
  auto created = CreditAccount::create(rate, handover, now);
  if (!created)
    return tl::unexpected(created.error());
  Accounts.emplace(handover.Account, std::move(*created));
  return {};
}

core::Result<void> CreditOwner::change(std::string_view account,
                                       AccountRate rate, core::TimePoint now) {
  const auto it = Accounts.find(account);
  if (it == Accounts.end())
    return core::fail(
        ErrorKind::NotFound,
        fmt::format("client account '{}' is not owned by this instance",
                    account));
  return it->second.change(rate, now);
}

void CreditOwner::dropOwnership(std::string_view account) {
  const auto it = Accounts.find(account);
  if (it != Accounts.end())
    Accounts.erase(it);
}

core::Result<CreditHandover> CreditOwner::handOver(std::string_view account,
                                                   core::TimePoint now) {
  const auto it = Accounts.find(account);
  if (it == Accounts.end())
    return core::fail(
        ErrorKind::NotFound,
        fmt::format("client account '{}' is not owned by this instance",
                    account));
  if (!it->second.isReady(now))
    return core::fail(ErrorKind::CreditUnavailable,
                      fmt::format("credit for client account '{}' from a "
                                  "former owner may not have expired",
                                  account));
  CreditHandover out = it->second.handOver(account, now);
  Accounts.erase(it);
  return out;
}

CreditGrant CreditOwner::handleAsk(const CreditAsk &ask, core::TimePoint now) {
  const auto it = Accounts.find(ask.Account);
  if (it == Accounts.end())
    return {ask.Id, ask.Account, CreditStatus::NotOwner, 0, {}, {}};
  return it->second.grant(ask, now);
}

void CreditOwner::handleReturn(const CreditReturn &message,
                               core::TimePoint now) {
  const auto it = Accounts.find(message.Account);
  if (it != Accounts.end())
    it->second.settle(message.Holder, message.Settled, now);
}

bool CreditOwner::owns(std::string_view account) const {
  return find(account) != nullptr;
}

const CreditAccount *CreditOwner::find(std::string_view account) const {
  const auto it = Accounts.find(account);
  return it == Accounts.end() ? nullptr : &it->second;
}

} // namespace acaciaroad::accounts
