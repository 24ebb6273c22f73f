/// \file
/// Validation and application of a single configuration record.

#ifndef ACACIAROAD_CONFIGURATION_CATALOGUEFOLD_H
#define ACACIAROAD_CONFIGURATION_CATALOGUEFOLD_H

#include "Configuration/Catalogue.h"

namespace acaciaroad::configuration {

/// Checks records against the current state of a catalogue and applies them.
class CatalogueFold {
public:
  /// \p at is the version of an item that an accepted record sets.
  CatalogueFold(Catalogue &state, Version at) : State(state), NewVersion(at) {}

  /// Returns Conflict or InvalidArgument if \p record can't be applied. Doesn't
  /// change the state.
  core::Result<void> check(const ConfigurationRecord &record) const;

  /// Applies \p record, which check() must have accepted.
  void apply(const ConfigurationRecord &record);

private:
  core::Result<void> checkRecord(const ClassSet &record) const;
  core::Result<void> checkRecord(const ClassRemoved &record) const;
  core::Result<void> checkRecord(const AccountSet &record) const;
  core::Result<void> checkRecord(const AccountRemoved &record) const;
  core::Result<void> checkRecord(const KeyGranted &record) const;
  core::Result<void> checkRecord(const KeyWithdrawn &record) const;

  void applyRecord(const ClassSet &record);
  void applyRecord(const ClassRemoved &record);
  void applyRecord(const AccountSet &record);
  void applyRecord(const AccountRemoved &record);
  void applyRecord(const KeyGranted &record);
  void applyRecord(const KeyWithdrawn &record);

  /// Checks that \p basis is the current version of the item; optimistic
  /// concurrency control between operators.
  core::Result<void> checkBasis(ItemKind kind, std::string_view name,
                                Version basis, bool isPresent) const;
  void addSetEntry(const ChangeOrigin &origin, ItemKind kind,
                   std::string_view name);
  void addRemovedEntry(const ChangeOrigin &origin, ItemKind kind,
                       std::string_view name);

  Catalogue &State;
  Version NewVersion;
};

} // namespace acaciaroad::configuration

#endif
