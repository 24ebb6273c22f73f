/// \file
/// The configuration in effect: classes of work, client accounts and keys,
/// built by folding the configuration records of the platform's log.

#ifndef ACACIAROAD_CONFIGURATION_CATALOGUE_H
#define ACACIAROAD_CONFIGURATION_CATALOGUE_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Configuration/BoundedSequence.h"
#include "Configuration/ClientKey.h"
#include "Configuration/ConfigurationRecord.h"
#include "Configuration/PersistentMap.h"
#include "Configuration/RoutingKey.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"

namespace acaciaroad::configuration {

/// Version of an item: the log offset of the record that set it, plus 1. 0 if
/// it never existed.
using Version = std::uint64_t;

enum class ItemKind : std::uint8_t { Class, Account, Key };

enum class ChangeAction : std::uint8_t { Set, Removed };

/// One accepted change.
struct HistoryEntry {
  core::Offset Offset = 0;
  ChangeOrigin Origin;
  ItemKind Kind = ItemKind::Class;
  std::string Name;
  ChangeAction Action = ChangeAction::Set;
  bool operator==(const HistoryEntry &) const = default;
};

/// Tombstone of a removed item. It prevents a delayed duplicate of the record
/// that created the item from being accepted again.
struct Removal {
  ItemKind Kind = ItemKind::Class;
  std::string Name;
  Version ItemVersion = 0;
  bool operator==(const Removal &) const = default;
};

struct ClassItem {
  Version ItemVersion = 0;
  WorkClass Value;
  bool operator==(const ClassItem &) const = default;
};

struct AccountItem {
  Version ItemVersion = 0;
  /// Version in which the account was created.
  Version Created = 0;
  ClientAccount Value;
  bool operator==(const AccountItem &) const = default;
};

struct KeyItem {
  Version ItemVersion = 0;
  std::string KeyId;
  ClientKey Value;
  bool operator==(const KeyItem &) const = default;
};

/// The complete state of a Catalogue, for checkpoints. Items are sorted by
/// name, removals and history from oldest to newest.
struct CatalogueSnapshot {
  /// First log offset that is not included.
  core::Offset NextOffset = 0;
  /// Newest version whose tombstone was dropped.
  Version RemovalFloor = 0;
  std::vector<ClassItem> Classes;
  std::vector<AccountItem> Accounts;
  std::vector<KeyItem> Keys;
  std::vector<Removal> Removals;
  std::vector<HistoryEntry> History;
  bool operator==(const CatalogueSnapshot &) const = default;
};

/// Aggregate of all configuration items. The control thread applies records to
/// its own instance and publishes copies to other threads. Copies are cheap:
/// they share their items.
class Catalogue {
public:
  static constexpr std::size_t MaxClasses = 4096;
  static constexpr std::size_t MaxAccounts = 65'536;
  static constexpr std::size_t MaxKeys = 131'072;
  static constexpr std::size_t MaxHistory = 1024;
  static constexpr std::size_t MaxRemovals = 4096;

  /// Restores a catalogue from a checkpoint. Fails with CorruptMessage if the
  /// snapshot exceeds a limit, has an invalid class, or has duplicate items.
  static core::Result<std::shared_ptr<Catalogue>>
  fromSnapshot(const CatalogueSnapshot &snapshot);

  CatalogueSnapshot snapshot() const;

  /// Applies the record at \p offset. Fails with Conflict if its basis version
  /// is stale or the offset was applied before, and with InvalidArgument if the
  /// record is invalid; the items are then unchanged. The result is
  /// deterministic, so all readers of the log agree.
  core::Result<void> apply(const ConfigurationRecord &record,
                           core::Offset offset);

  /// Skips the records before \p offset, which hold nothing more for this
  /// aggregate.
  void markReadUpTo(core::Offset offset);

  /// Returns what apply() would return if \p record were appended now.
  core::Result<void> validate(const ConfigurationRecord &record) const;

  /// Returns the class with the longest path prefix that matches whole segments
  /// of \p path. Fails with UnknownClass, or with MalformedRequest (see
  /// canonicalPath).
  core::Result<const WorkClass *> findClass(std::string_view path) const;

  /// The lookups by name or id return null for an unknown one.
  const WorkClass *findClassByName(std::string_view name) const;
  const ClientAccount *findAccount(std::string_view name) const;
  const ClientKey *findKey(std::string_view keyId) const;

  /// Returns the account of a key, given as "ID.SECRET". Fails with KeyMissing
  /// if it is empty and with KeyUnknown if it is wrong. Takes the same time for
  /// known and unknown ids.
  core::Result<const ClientAccount *>
  authenticate(std::string_view bearer) const;

  /// Returns the current version of an item, which is the basis of its next
  /// change. For an absent item it is the version of its removal, or
  /// RemovalFloor if no tombstone is kept.
  Version versionOf(ItemKind kind, std::string_view name) const;

  /// Returns the last accepted changes, oldest first, at most MaxHistory.
  std::vector<HistoryEntry> history() const;

  /// Returns the accepted change with this id if it is still in the history.
  std::optional<HistoryEntry> findChange(std::uint64_t changeId) const;

  /// Returns the first log offset that was not applied.
  core::Offset nextOffset() const { return NextOffset; }

  std::size_t classCount() const { return Classes.size(); }
  std::size_t accountCount() const { return Accounts.size(); }
  std::size_t keyCount() const { return Keys.size(); }

  /// Items sorted by name.
  std::vector<ClassItem> classes() const;
  std::vector<AccountItem> accounts() const;
  std::vector<KeyItem> keys() const;

private:
  friend class CatalogueFold;

  struct PrefixOwner {
    std::string Class;
  };

  Version removalVersion(ItemKind kind, std::string_view name) const;
  void addRemoval(ItemKind kind, std::string_view name, Version at);
  void addHistoryEntry(HistoryEntry entry);
  void restoreItems(const CatalogueSnapshot &snapshot);

  PersistentMap<ClassItem> Classes;
  PersistentMap<PrefixOwner> Prefixes;
  PersistentMap<AccountItem> Accounts;
  PersistentMap<KeyItem> Keys;
  /// Versions of removed items by kind and name.
  PersistentMap<Version> RemovedVersions;
  BoundedSequence<Removal, MaxRemovals> Removals;
  BoundedSequence<HistoryEntry, MaxHistory> History;
  /// Newest version whose tombstone was dropped. An absent item can't be
  /// created from an older basis.
  Version RemovalFloor = 0;
  core::Offset NextOffset = 0;
};

} // namespace acaciaroad::configuration

#endif
