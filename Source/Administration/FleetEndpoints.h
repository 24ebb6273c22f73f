/// \file
/// The operations on data centres and instances, and questions about the fleet.

#ifndef ACACIAROAD_ADMINISTRATION_FLEETENDPOINTS_H
#define ACACIAROAD_ADMINISTRATION_FLEETENDPOINTS_H

#include <memory>
#include <vector>

#include "Administration/AdministrationHooks.h"
#include "Administration/ApiMessages.h"
#include "Administration/ChangeSubmitter.h"

namespace acaciaroad::administration {

/// Serves its routes from the node's view of the fleet. Changes here carry no
/// change id: asking for a state that already holds is answered as accepted.
class FleetEndpoints : public std::enable_shared_from_this<FleetEndpoints> {
public:
  explicit FleetEndpoints(std::shared_ptr<const AdministrationHooks> hooks)
      : Hooks(hooks), Changes(std::move(hooks)) {}

  std::vector<Route> routes();

private:
  ApiResult status(const ApiCall &call) const;
  ApiResult listDataCentres(const ApiCall &call) const;
  ApiResult putDataCentre(const ApiCall &call) const;
  ApiResult dataCentreOut(const ApiCall &call) const;
  ApiResult dataCentreIn(const ApiCall &call) const;
  ApiResult listInstances(const ApiCall &call) const;
  ApiResult drainInstance(const ApiCall &call) const;
  ApiResult declareLost(const ApiCall &call) const;
  ApiResult findOwner(const ApiCall &call) const;
  ApiResult inForce(const ApiCall &call) const;

  ApiResult setShare(const ApiCall &call, FieldReader &reader,
                     std::uint32_t sharePermille) const;
  core::Result<InstanceLine> findInstance(std::string_view nameOrId) const;

  std::shared_ptr<const AdministrationHooks> Hooks;
  ChangeSubmitter Changes;
};

} // namespace acaciaroad::administration

#endif
