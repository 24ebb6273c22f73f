/// \file
/// The rules by which one record changes the catalogue.

#ifndef ACACIAROAD_CONFIGURATION_CATALOGUEFOLD_H
#define ACACIAROAD_CONFIGURATION_CATALOGUEFOLD_H

#include "Configuration/Catalogue.h"

namespace acaciaroad::configuration {

/// Checks records against one state of a catalogue, and applies those that it
/// accepts.
class CatalogueFold {
public:
  /// \p at is the version that an accepted record makes.
  CatalogueFold(Catalogue &state, Version at) : State(state), NewVersion(at) {}

  /// Conflict or InvalidArgument; never changes the state.
  core::Result<void> check(const ConfigurationRecord &record) const;

  /// Applies a record that check() accepts.
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
