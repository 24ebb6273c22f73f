#include "Configuration/CatalogueFold.h"

#include <algorithm>

#include <fmt/format.h>

#include "Configuration/Validation.h"

namespace acaciaroad::configuration {

using core::ErrorKind;
using core::fail;
using core::Result;

Result<void> CatalogueFold::check(const ConfigurationRecord &record) const {
  return validateFields(record).and_then([&] {
    return std::visit([&](const auto &it) { return checkRecord(it); }, record);
  });
}

void CatalogueFold::apply(const ConfigurationRecord &record) {
  std::visit([&](const auto &it) { applyRecord(it); }, record);
}

Result<void> CatalogueFold::checkBasis(ItemKind kind, std::string_view name,
                                       Version basis, bool isPresent) const {
  const Version current = State.versionOf(kind, name);
  // The basis of a new item may be any version since the removal of its
  // predecessor. A basis at or after this record can't have been read.
  const bool isCurrent =
      isPresent ? basis == current : basis >= current && basis < NewVersion;
  if (isCurrent)
    return {};
  return fail(ErrorKind::Conflict, fmt::format("'{}' is at version {}, not {}",
                                               name, current, basis));
}

Result<void> CatalogueFold::checkRecord(const ClassSet &record) const {
  const WorkClass &value = record.Value;
  const bool isPresent = State.Classes.find(value.Name) != nullptr;
  auto basis = checkBasis(ItemKind::Class, value.Name, record.Basis, isPresent);
  if (!basis)
    return basis;
  const auto *owner = State.Prefixes.find(value.PathPrefix);
  if (owner && owner->Class != value.Name)
    return fail(ErrorKind::InvalidArgument,
                fmt::format("path_prefix '{}' belongs to class '{}'",
                            value.PathPrefix, owner->Class));
  if (!isPresent && State.Classes.size() >= Catalogue::MaxClasses)
    return fail(ErrorKind::InvalidArgument,
                fmt::format("the limit of {} classes is reached",
                            Catalogue::MaxClasses));
  return {};
}

Result<void> CatalogueFold::checkRecord(const ClassRemoved &record) const {
  if (!State.Classes.find(record.Name))
    return fail(ErrorKind::Conflict,
                fmt::format("class '{}' does not exist", record.Name));
  return checkBasis(ItemKind::Class, record.Name, record.Basis, true);
}

Result<void> CatalogueFold::checkRecord(const AccountSet &record) const {
  const std::string &name = record.Value.Name;
  const bool isPresent = State.Accounts.find(name) != nullptr;
  auto basis = checkBasis(ItemKind::Account, name, record.Basis, isPresent);
  if (!basis)
    return basis;
  if (!isPresent && State.Accounts.size() >= Catalogue::MaxAccounts)
    return fail(ErrorKind::InvalidArgument,
                fmt::format("the limit of {} client accounts is reached",
                            Catalogue::MaxAccounts));
  return {};
}

Result<void> CatalogueFold::checkRecord(const AccountRemoved &record) const {
  if (!State.Accounts.find(record.Name))
    return fail(ErrorKind::Conflict,
                fmt::format("client account '{}' does not exist", record.Name));
  return checkBasis(ItemKind::Account, record.Name, record.Basis, true);
}

Result<void> CatalogueFold::checkRecord(const KeyGranted &record) const {
  if (State.Keys.find(record.KeyId))
    return fail(ErrorKind::Conflict,
                fmt::format("key id '{}' is already in use", record.KeyId));
  auto basis = checkBasis(ItemKind::Key, record.KeyId, record.Basis, false);
  if (!basis)
    return basis;
  const AccountItem *account = State.Accounts.find(record.Account);
  if (!account)
    return fail(
        ErrorKind::Conflict,
        fmt::format("client account '{}' does not exist", record.Account));
  // The account may have been replaced by one of the same name since the
  // operator read it.
  if (account->Created > record.Basis)
    return fail(
        ErrorKind::Conflict,
        fmt::format(
            "client account '{}' was created in version {}, after the basis {}",
            record.Account, account->Created, record.Basis));
  if (State.Keys.size() >= Catalogue::MaxKeys)
    return fail(
        ErrorKind::InvalidArgument,
        fmt::format("the limit of {} keys is reached", Catalogue::MaxKeys));
  return {};
}

Result<void> CatalogueFold::checkRecord(const KeyWithdrawn &record) const {
  if (!State.Keys.find(record.KeyId))
    return fail(ErrorKind::Conflict,
                fmt::format("key id '{}' does not exist", record.KeyId));
  return {};
}

void CatalogueFold::applyRecord(const ClassSet &record) {
  const WorkClass &value = record.Value;
  if (const ClassItem *old = State.Classes.find(value.Name))
    State.Prefixes.erase(old->Value.PathPrefix);
  State.Prefixes.set(value.PathPrefix, {value.Name});
  State.Classes.set(value.Name, ClassItem{NewVersion, value});
  addSetEntry(record.Origin, ItemKind::Class, value.Name);
}

void CatalogueFold::applyRecord(const ClassRemoved &record) {
  State.Prefixes.erase(State.Classes.find(record.Name)->Value.PathPrefix);
  State.Classes.erase(record.Name);
  addRemovedEntry(record.Origin, ItemKind::Class, record.Name);
}

void CatalogueFold::applyRecord(const AccountSet &record) {
  const AccountItem *old = State.Accounts.find(record.Value.Name);
  const Version created = old ? old->Created : NewVersion;
  State.Accounts.set(record.Value.Name,
                     AccountItem{NewVersion, created, record.Value});
  addSetEntry(record.Origin, ItemKind::Account, record.Value.Name);
}

void CatalogueFold::applyRecord(const AccountRemoved &record) {
  State.Accounts.erase(record.Name);
  addRemovedEntry(record.Origin, ItemKind::Account, record.Name);
}

void CatalogueFold::applyRecord(const KeyGranted &record) {
  KeyItem item;
  item.ItemVersion = NewVersion;
  item.KeyId = record.KeyId;
  item.Value.Account = record.Account;
  item.Value.AccountCreated = State.Accounts.find(record.Account)->Created;
  std::copy_n(record.Salt.begin(), SaltBytes, item.Value.Salt.begin());
  std::copy_n(record.Hash.begin(), HashBytes, item.Value.Hash.begin());
  State.Keys.set(record.KeyId, std::move(item));
  addSetEntry(record.Origin, ItemKind::Key, record.KeyId);
}

void CatalogueFold::applyRecord(const KeyWithdrawn &record) {
  State.Keys.erase(record.KeyId);
  addRemovedEntry(record.Origin, ItemKind::Key, record.KeyId);
}

void CatalogueFold::addSetEntry(const ChangeOrigin &origin, ItemKind kind,
                                std::string_view name) {
  State.addHistoryEntry(
      {NewVersion - 1, origin, kind, std::string(name), ChangeAction::Set});
}

void CatalogueFold::addRemovedEntry(const ChangeOrigin &origin, ItemKind kind,
                                    std::string_view name) {
  State.addRemoval(kind, name, NewVersion);
  State.addHistoryEntry(
      {NewVersion - 1, origin, kind, std::string(name), ChangeAction::Removed});
}

} // namespace acaciaroad::configuration
