#include "Codec/CatalogueMessages.h"

#include <algorithm>

#include "Codec/ConfigurationMessages.h"
#include "Codec/Conversion.h"

namespace acaciaroad::codec {

namespace {

using namespace acaciaroad::configuration;

template <std::size_t N>
bool readArray(const std::string &from, std::array<char, N> &to) {
  if (from.size() != N)
    return false;
  std::copy(from.begin(), from.end(), to.begin());
  return true;
}

template <std::size_t N> std::string toString(const std::array<char, N> &from) {
  return {from.begin(), from.end()};
}

void writeItem(const ClassItem &from, pb::ClassItem &to) {
  to.set_at(from.ItemVersion);
  write(from.Value, *to.mutable_value());
}

bool readItem(const pb::ClassItem &from, ClassItem &to) {
  to.ItemVersion = from.at();
  return read(from.value(), to.Value);
}

void writeItem(const AccountItem &from, pb::AccountItem &to) {
  to.set_at(from.ItemVersion);
  to.set_created(from.Created);
  write(from.Value, *to.mutable_value());
}

bool readItem(const pb::AccountItem &from, AccountItem &to) {
  to.ItemVersion = from.at();
  to.Created = from.created();
  return read(from.value(), to.Value);
}

void writeItem(const KeyItem &from, pb::KeyItem &to) {
  to.set_at(from.ItemVersion);
  to.set_key_id(from.KeyId);
  to.set_account(from.Value.Account);
  to.set_account_created(from.Value.AccountCreated);
  to.set_salt(toString(from.Value.Salt));
  to.set_hash(toString(from.Value.Hash));
}

bool readItem(const pb::KeyItem &from, KeyItem &to) {
  to.ItemVersion = from.at();
  to.Value.AccountCreated = from.account_created();
  return readString(from.key_id(), to.KeyId) &&
         readString(from.account(), to.Value.Account) &&
         readArray(from.salt(), to.Value.Salt) &&
         readArray(from.hash(), to.Value.Hash);
}

void writeItem(const Removal &from, pb::Removal &to) {
  to.set_kind(enumNumber(from.Kind));
  to.set_name(from.Name);
  to.set_at(from.ItemVersion);
}

bool readItem(const pb::Removal &from, Removal &to) {
  to.ItemVersion = from.at();
  return readEnum(from.kind(), ItemKind::Key, to.Kind) &&
         readString(from.name(), to.Name);
}

void writeItem(const HistoryEntry &from, pb::HistoryEntry &to) {
  to.set_offset(from.Offset);
  write(from.Origin, *to.mutable_origin());
  to.set_kind(enumNumber(from.Kind));
  to.set_name(from.Name);
  to.set_action(enumNumber(from.Action));
}

bool readItem(const pb::HistoryEntry &from, HistoryEntry &to) {
  to.Offset = from.offset();
  return read(from.origin(), to.Origin) &&
         readEnum(from.kind(), ItemKind::Key, to.Kind) &&
         readString(from.name(), to.Name) &&
         readEnum(from.action(), ChangeAction::Removed, to.Action);
}

} // namespace

void write(const CatalogueSnapshot &from, pb::CatalogueSnapshot &to) {
  to.set_next_offset(from.NextOffset);
  to.set_removal_floor(from.RemovalFloor);
  for (const ClassItem &it : from.Classes)
    writeItem(it, *to.add_classes());
  for (const AccountItem &it : from.Accounts)
    writeItem(it, *to.add_accounts());
  for (const KeyItem &it : from.Keys)
    writeItem(it, *to.add_keys());
  for (const Removal &it : from.Removals)
    writeItem(it, *to.add_removals());
  for (const HistoryEntry &it : from.History)
    writeItem(it, *to.add_history());
}

bool read(const pb::CatalogueSnapshot &from, CatalogueSnapshot &to) {
  to.NextOffset = from.next_offset();
  to.RemovalFloor = from.removal_floor();
  const auto readOne = [](const auto &message, auto &item) {
    return readItem(message, item);
  };
  return readAll(from.classes(), to.Classes, readOne) &&
         readAll(from.accounts(), to.Accounts, readOne) &&
         readAll(from.keys(), to.Keys, readOne) &&
         readAll(from.removals(), to.Removals, readOne) &&
         readAll(from.history(), to.History, readOne);
}

} // namespace acaciaroad::codec
