/// \file
/// The configuration that is in force: classes of work, client accounts and
/// keys, folded from the platform's log.

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

/// Number of an item's version: the offset of the record that made it, plus 1.
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

/// An item that was removed, kept so that a late copy of the record which
/// created it is not accepted again.
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

/// The whole state of a Catalogue, for checkpoints; lists are sorted by name,
/// removals and history by age.
struct CatalogueSnapshot {
  /// First offset that is not covered.
  core::Offset NextOffset = 0;
  Version RemovalFloor = 0;
  std::vector<ClassItem> Classes;
  std::vector<AccountItem> Accounts;
  std::vector<KeyItem> Keys;
  std::vector<Removal> Removals;
  std::vector<HistoryEntry> History;
  bool operator==(const CatalogueSnapshot &) const = default;
};

/// The aggregate. The control thread folds records into its own copy and
/// publishes others; a copy shares all items with its original.
class Catalogue {
public:
  static constexpr std::size_t MaxClasses = 4096;
  static constexpr std::size_t MaxAccounts = 65'536;
  static constexpr std::size_t MaxKeys = 131'072;
  static constexpr std::size_t MaxHistory = 1024;
  static constexpr std::size_t MaxRemovals = 4096;

  /// Rebuilds a catalogue from a checkpoint. CorruptMessage if the snapshot
  /// breaks a rule that every fold keeps.
  static core::Result<std::shared_ptr<Catalogue>>
  fromSnapshot(const CatalogueSnapshot &snapshot);

  CatalogueSnapshot snapshot() const;

  /// Folds the record at \p offset. Conflict if its basis is stale or the
  /// offset is covered already, InvalidArgument if it is not valid; the state
  /// of items is then unchanged. The verdict is the same on every reader.
  core::Result<void> apply(const ConfigurationRecord &record,
                           core::Offset offset);

  /// Notes that records before \p offset hold nothing more for this aggregate.
  void markReadUpTo(core::Offset offset);

  /// Tells what apply() would answer to \p record if it were appended now.
  core::Result<void> validate(const ConfigurationRecord &record) const;

  /// Returns the class with the longest prefix of \p path that ends on a border
  /// between segments. UnknownClass, or MalformedRequest (see canonicalPath).
  core::Result<const WorkClass *> findClass(std::string_view path) const;

  const WorkClass *findClassByName(std::string_view name) const;
  const ClientAccount *findAccount(std::string_view name) const;
  const ClientKey *findKey(std::string_view keyId) const;

  /// Returns the account whose key "ID.SECRET" this is. KeyMissing if empty,
  /// otherwise KeyUnknown, after the same work for known and unknown ids.
  core::Result<const ClientAccount *>
  authenticate(std::string_view bearer) const;

  /// Returns the version that a change of the item has to build on.
  Version versionOf(ItemKind kind, std::string_view name) const;

  /// Accepted changes, oldest first, at most MaxHistory.
  std::vector<HistoryEntry> history() const;

  /// Returns the accepted change with this id while it is in the history.
  std::optional<HistoryEntry> findChange(std::uint64_t changeId) const;

  /// First offset that is not folded.
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
  /// Newest removal that is no longer kept; an absent item may not be created
  /// on an older basis.
  Version RemovalFloor = 0;
  core::Offset NextOffset = 0;
};

} // namespace acaciaroad::configuration

#endif
