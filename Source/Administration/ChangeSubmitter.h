/// \file
/// Carries a change of configuration from the API to the log.

#ifndef ACACIAROAD_ADMINISTRATION_CHANGESUBMITTER_H
#define ACACIAROAD_ADMINISTRATION_CHANGESUBMITTER_H

#include <memory>
#include <optional>

#include "Administration/AdministrationHooks.h"
#include "Administration/ApiMessages.h"
#include "Administration/FieldReader.h"

namespace acaciaroad::administration {

/// What every change states besides its content.
struct ChangeParameters {
  configuration::ChangeOrigin Origin;
  /// Version that the change builds on.
  std::optional<configuration::Version> Basis;
};

/// Checks a change, appends it and tells how it ended. A change is named by its
/// change id: the same request sent again after an unknown outcome finds the
/// record that the first one left, and is not carried out twice.
class ChangeSubmitter {
public:
  explicit ChangeSubmitter(std::shared_ptr<const AdministrationHooks> hooks)
      : Hooks(std::move(hooks)) {}

  /// Takes "change_id" and "basis" from the body, or from the query and
  /// If-Match; draws a change id if there is none.
  core::Result<ChangeParameters> parameters(const ApiCall &call,
                                            FieldReader &reader) const;

  /// Carries out a change of configuration.
  ApiResult submit(const ApiCall &call,
                   const configuration::ConfigurationRecord &record) const;

  /// Carries out a change of ownership, which its content alone names.
  ApiResult submit(const ApiCall &call,
                   const ownership::OwnershipRecord &record) const;

private:
  std::optional<configuration::HistoryEntry>
  findOwn(const configuration::ConfigurationRecord &record) const;
  void report(const ApiCall &call,
              const core::Result<core::Offset> &outcome) const;

  std::shared_ptr<const AdministrationHooks> Hooks;
};

} // namespace acaciaroad::administration

#endif
