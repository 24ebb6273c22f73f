/// \file
/// The operations on classes of work, client accounts, keys and the history.

#ifndef ACACIAROAD_ADMINISTRATION_CONFIGURATIONENDPOINTS_H
#define ACACIAROAD_ADMINISTRATION_CONFIGURATIONENDPOINTS_H

#include <memory>
#include <vector>

#include "Administration/AdministrationHooks.h"
#include "Administration/ApiMessages.h"
#include "Administration/ChangeSubmitter.h"

namespace acaciaroad::administration {

/// Serves its routes from the catalogue in force.
class ConfigurationEndpoints
    : public std::enable_shared_from_this<ConfigurationEndpoints> {
public:
  explicit ConfigurationEndpoints(
      std::shared_ptr<const AdministrationHooks> hooks)
      : Hooks(hooks), Changes(std::move(hooks)) {}

  std::vector<Route> routes();

private:
  ApiResult listClasses(const ApiCall &call) const;
  ApiResult getClass(const ApiCall &call) const;
  ApiResult putClass(const ApiCall &call) const;
  ApiResult deleteClass(const ApiCall &call) const;
  ApiResult listAccounts(const ApiCall &call) const;
  ApiResult getAccount(const ApiCall &call) const;
  ApiResult putAccount(const ApiCall &call) const;
  ApiResult deleteAccount(const ApiCall &call) const;
  ApiResult listKeys(const ApiCall &call) const;
  ApiResult grantKey(const ApiCall &call) const;
  ApiResult withdrawKey(const ApiCall &call) const;
  ApiResult listHistory(const ApiCall &call) const;
  ApiResult absent(configuration::ItemKind kind, std::string_view name) const;

  std::shared_ptr<const AdministrationHooks> Hooks;
  ChangeSubmitter Changes;
};

} // namespace acaciaroad::administration

#endif
