#include "Configuration/Catalogue.h"

#include <algorithm>

#include <fmt/format.h>

#include "Configuration/CatalogueFold.h"
#include "Configuration/Validation.h"

namespace acaciaroad::configuration {

using core::ErrorKind;
using core::fail;
using core::Result;

namespace {

/// Longer bearer strings are rejected, after hashing this many bytes.
constexpr std::size_t MaxBearerBytes = 256;

std::string removalKey(ItemKind kind, std::string_view name) {
  return fmt::format("{}/{}", static_cast<int>(kind), name);
}

template <typename T, std::size_t N>
std::vector<T> toVector(const BoundedSequence<T, N> &sequence) {
  std::vector<T> out;
  out.reserve(sequence.size());
  sequence.forEach([&](const T &it) { out.push_back(it); });
  return out;
}

struct NamedItem {
  std::string_view Name;
  const void *Item;
};

template <typename T> std::vector<T> sortedItems(const PersistentMap<T> &map) {
  std::vector<NamedItem> names;
  names.reserve(map.size());
  map.forEach([&](std::string_view name, const T &it) {
    names.push_back({name, &it});
  });
  std::sort(
      names.begin(), names.end(),
      [](const NamedItem &a, const NamedItem &b) { return a.Name < b.Name; });
  std::vector<T> out;
  out.reserve(names.size());
  for (const NamedItem &it : names)
    out.push_back(*static_cast<const T *>(it.Item));
  return out;
}

bool isValidItem(const ClassItem &item, const CatalogueSnapshot &snapshot) {
  ClassSet record;
  record.Origin = {1, "snapshot", 0};
  record.Value = item.Value;
  return item.ItemVersion <= snapshot.NextOffset &&
         validateFields(record).has_value();
}

std::string_view viewOf(const auto &array) {
  return {array.data(), array.size()};
}

} // namespace

Result<std::shared_ptr<Catalogue>>
Catalogue::fromSnapshot(const CatalogueSnapshot &snapshot) {
  const bool isWithinLimits = snapshot.Classes.size() <= MaxClasses &&
                              snapshot.Accounts.size() <= MaxAccounts &&
                              snapshot.Keys.size() <= MaxKeys &&
                              snapshot.Removals.size() <= MaxRemovals &&
                              snapshot.History.size() <= MaxHistory;
  if (!isWithinLimits)
    return fail(
        ErrorKind::CorruptMessage,
        fmt::format(
            "the snapshot exceeds a limit: {} classes (limit {}), {} client "
            "accounts ({}), {} keys ({}), {} removals ({}), {} changes ({})",
            snapshot.Classes.size(), MaxClasses, snapshot.Accounts.size(),
            MaxAccounts, snapshot.Keys.size(), MaxKeys,
            snapshot.Removals.size(), MaxRemovals, snapshot.History.size(),
            MaxHistory));
  const bool areClassesValid = std::all_of(
      snapshot.Classes.begin(), snapshot.Classes.end(),
      [&](const ClassItem &it) { return isValidItem(it, snapshot); });
  if (!areClassesValid)
    return fail(ErrorKind::CorruptMessage,
                "a class of the snapshot is invalid or has a version beyond "
                "the snapshot");
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->restoreItems(snapshot);
  const bool isUnique =
      catalogue->Classes.size() == snapshot.Classes.size() &&
      catalogue->Prefixes.size() == snapshot.Classes.size() &&
      catalogue->Accounts.size() == snapshot.Accounts.size() &&
      catalogue->Keys.size() == snapshot.Keys.size();
  if (!isUnique)
    return fail(ErrorKind::CorruptMessage,
                "the snapshot has duplicate names or path prefixes");
  return catalogue;
}

void Catalogue::restoreItems(const CatalogueSnapshot &snapshot) {
  for (const ClassItem &it : snapshot.Classes) {
    Classes.set(it.Value.Name, it);
    Prefixes.set(it.Value.PathPrefix, {it.Value.Name});
  }
  for (const AccountItem &it : snapshot.Accounts)
    Accounts.set(it.Value.Name, it);
  for (const KeyItem &it : snapshot.Keys)
    Keys.set(it.KeyId, it);
  for (const Removal &it : snapshot.Removals)
    addRemoval(it.Kind, it.Name, it.ItemVersion);
  for (const HistoryEntry &it : snapshot.History)
    History.push(it);
  RemovalFloor = snapshot.RemovalFloor;
  NextOffset = snapshot.NextOffset;
}

CatalogueSnapshot Catalogue::snapshot() const {
  return {NextOffset, RemovalFloor,       classes(),        accounts(),
          keys(),     toVector(Removals), toVector(History)};
}

Result<void> Catalogue::apply(const ConfigurationRecord &record,
                              core::Offset offset) {
  if (offset < NextOffset)
    return fail(ErrorKind::Conflict,
                fmt::format("offset {} was already applied, the next one is {}",
                            offset, NextOffset));
  NextOffset = offset + 1;
  CatalogueFold fold(*this, offset + 1);
  auto result = fold.check(record);
  if (result)
    fold.apply(record);
  return result;
}

void Catalogue::markReadUpTo(core::Offset offset) {
  NextOffset = std::max(NextOffset, offset);
}

Result<void> Catalogue::validate(const ConfigurationRecord &record) const {
  Catalogue copy = *this;
  return CatalogueFold(copy, NextOffset + 1).check(record);
}

Result<const WorkClass *> Catalogue::findClass(std::string_view path) const {
  const auto canonical = canonicalPath(path);
  if (!canonical)
    return tl::unexpected(canonical.error());
  std::string_view prefix = *canonical;
  while (prefix.size() > 1) {
    if (const PrefixOwner *owner = Prefixes.find(prefix))
      return findClassByName(owner->Class);
    prefix = prefix.substr(0, prefix.rfind('/'));
  }
  if (const PrefixOwner *owner = Prefixes.find("/"))
    return findClassByName(owner->Class);
  return fail(ErrorKind::UnknownClass);
}

const WorkClass *Catalogue::findClassByName(std::string_view name) const {
  const ClassItem *item = Classes.find(name);
  return item ? &item->Value : nullptr;
}

const ClientAccount *Catalogue::findAccount(std::string_view name) const {
  const AccountItem *item = Accounts.find(name);
  return item ? &item->Value : nullptr;
}

const ClientKey *Catalogue::findKey(std::string_view keyId) const {
  const KeyItem *item = Keys.find(keyId);
  return item ? &item->Value : nullptr;
}

Result<const ClientAccount *>
Catalogue::authenticate(std::string_view bearer) const {
  if (bearer.empty())
    return fail(ErrorKind::KeyMissing);
  // Hashes even for an unknown id, so that the response time doesn't reveal
  // which ids exist.
  static const ClientKey noKey;
  const std::string_view bounded = bearer.substr(0, MaxBearerBytes);
  const std::size_t dot = bounded.find('.');
  const bool hasSecret = dot != std::string_view::npos;
  const std::string_view secret = hasSecret ? bounded.substr(dot + 1) : bounded;
  const ClientKey *found = findKey(bounded.substr(0, dot));
  const ClientKey &key = found ? *found : noKey;
  const HashArray hash = hashSecret(viewOf(key.Salt), secret);
  const bool isEqual = equalInConstantTime(viewOf(hash), viewOf(key.Hash));
  const bool isWithinLimits = bearer.size() <= MaxBearerBytes;
  const AccountItem *account = Accounts.find(key.Account);
  const bool isSameAccount = account && account->Created == key.AccountCreated;
  if (!found || !isEqual || !isWithinLimits || !hasSecret || !isSameAccount)
    return fail(ErrorKind::KeyUnknown);
  return &account->Value;
}

Version Catalogue::versionOf(ItemKind kind, std::string_view name) const {
  switch (kind) {
  case ItemKind::Class:
    if (const ClassItem *item = Classes.find(name))
      return item->ItemVersion;
    break;
  case ItemKind::Account:
    if (const AccountItem *item = Accounts.find(name))
      return item->ItemVersion;
    break;
  case ItemKind::Key:
    if (const KeyItem *item = Keys.find(name))
      return item->ItemVersion;
    break;
  }
  return removalVersion(kind, name);
}

Version Catalogue::removalVersion(ItemKind kind, std::string_view name) const {
  const Version *found = RemovedVersions.find(removalKey(kind, name));
  return found ? *found : RemovalFloor;
}

void Catalogue::addRemoval(ItemKind kind, std::string_view name, Version at) {
  RemovedVersions.set(removalKey(kind, name), at);
  const auto oldest = Removals.push({kind, std::string(name), at});
  if (!oldest)
    return;
  RemovalFloor = std::max(RemovalFloor, oldest->ItemVersion);
  const std::string key = removalKey(oldest->Kind, oldest->Name);
  // Keep the version if the same item was removed again later.
  const Version *newest = RemovedVersions.find(key);
  if (newest && *newest == oldest->ItemVersion)
    RemovedVersions.erase(key);
}

void Catalogue::addHistoryEntry(HistoryEntry entry) {
  History.push(std::move(entry));
}

std::vector<HistoryEntry> Catalogue::history() const {
  return toVector(History);
}

std::optional<HistoryEntry>
Catalogue::findChange(std::uint64_t changeId) const {
  std::optional<HistoryEntry> found;
  History.forEach([&](const HistoryEntry &it) {
    if (it.Origin.ChangeId == changeId)
      found = it;
  });
  return found;
}

std::vector<ClassItem> Catalogue::classes() const {
  return sortedItems(Classes);
}

std::vector<AccountItem> Catalogue::accounts() const {
  return sortedItems(Accounts);
}

std::vector<KeyItem> Catalogue::keys() const { return sortedItems(Keys); }

} // namespace acaciaroad::configuration
