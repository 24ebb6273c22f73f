/// \file
/// The operations on the answering node: its upstream, totals, metrics and log
/// level.

#ifndef ACACIAROAD_ADMINISTRATION_NODEENDPOINTS_H
#define ACACIAROAD_ADMINISTRATION_NODEENDPOINTS_H

#include <memory>
#include <vector>

#include "Administration/AdministrationHooks.h"
#include "Administration/ApiMessages.h"

namespace acaciaroad::administration {

class NodeEndpoints : public std::enable_shared_from_this<NodeEndpoints> {
public:
  explicit NodeEndpoints(std::shared_ptr<const AdministrationHooks> hooks)
      : Hooks(std::move(hooks)) {}

  std::vector<Route> routes();

private:
  ApiResult announce(const ApiCall &call) const;
  ApiResult leave(const ApiCall &call) const;
  ApiResult totals(const ApiCall &call) const;
  ApiResult setLogLevel(const ApiCall &call) const;
  ApiResult metrics(const ApiCall &call) const;

  std::shared_ptr<const AdministrationHooks> Hooks;
};

} // namespace acaciaroad::administration

#endif
