/// \file
/// Serves the administration API over HTTP.

#ifndef ACACIAROAD_ADMINISTRATION_ADMINISTRATIONSERVER_H
#define ACACIAROAD_ADMINISTRATION_ADMINISTRATIONSERVER_H

#include <memory>
#include <string>

#include "Administration/AdministrationApi.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Http/CallerServer.h"

namespace acaciaroad::administration {

/// Listens on the administration address. Idle connections wait without a
/// thread and without waking (see http::CallerServer).
class AdministrationServer {
public:
  /// Most bytes of a request's body.
  static constexpr std::size_t MaxBodyBytes = 64U << 10U;

  /// Binds and starts; port 0 lets the system choose. InvalidSettings if the
  /// address cannot be bound.
  static core::Result<std::unique_ptr<AdministrationServer>>
  create(const core::Endpoint &listen,
         std::shared_ptr<const AdministrationApi> api);

  /// The port that was bound.
  int port() const { return Server->port(); }

  /// Finishes running requests and joins the threads.
  void stop() { Server->stop(); }

private:
  AdministrationServer() = default;

  std::unique_ptr<http::CallerServer> Server;
};

/// Splits a request target into decoded path and query parameters.
/// MalformedRequest for a broken escape or a parameter given twice.
core::Result<void> readTarget(std::string_view target, ApiRequest &out);

} // namespace acaciaroad::administration

#endif
