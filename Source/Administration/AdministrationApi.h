/// \file
/// Routes and authorises the requests of the administration API.

#ifndef ACACIAROAD_ADMINISTRATION_ADMINISTRATIONAPI_H
#define ACACIAROAD_ADMINISTRATION_ADMINISTRATIONAPI_H

#include <atomic>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "Administration/AdministrationHooks.h"
#include "Administration/ApiMessages.h"
#include "Administration/OperatorTokens.h"

namespace acaciaroad::administration {

/// The API without its transport. handle() may be called from any thread.
class AdministrationApi {
public:
  /// Calls of operators at once; more are refused with QueueFull, so that the
  /// heartbeats of the upstream always find a thread.
  static constexpr int MaxOperatorCalls = 12;

  /// \p ownAddresses are the numeric addresses of this instance, from which its
  /// upstream calls; loopback addresses always count. InvalidSettings if a hook
  /// is not set.
  static core::Result<std::shared_ptr<AdministrationApi>>
  create(AdministrationHooks hooks, OperatorTokens tokens,
         std::vector<std::string> ownAddresses);

  /// Answers a request; failures become problem documents.
  ApiResponse handle(const ApiRequest &request) const;

  std::span<const Route> routes() const { return Routes; }

private:
  AdministrationApi(const std::shared_ptr<const AdministrationHooks> &hooks,
                    OperatorTokens tokens,
                    std::vector<std::string> ownAddresses);

  ApiResult callRoute(const Route &route, const ApiCall &call) const;
  ApiResult dispatch(const ApiRequest &request) const;
  core::Result<OperatorIdentity> authorize(const Route &route,
                                           const ApiRequest &request) const;
  bool isOwnAddress(std::string_view address) const;

  const OperatorTokens Tokens;
  const std::vector<std::string> OwnAddresses;
  std::vector<Route> Routes;
  mutable std::atomic<int> OperatorCalls{0};
};

} // namespace acaciaroad::administration

#endif
