/// \file
/// Finds route, service and client account of a request.

#ifndef ACACIAROAD_ROUTING_ROUTETABLE_H
#define ACACIAROAD_ROUTING_ROUTETABLE_H

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Error.h"
#include "Routing/RoutingTypes.h"

namespace acaciaroad::routing {

/// An indexed, immutable configuration.
class RouteTable {
public:
  /// Fails with InvalidArgument if a route names no service of the
  /// configuration, or two routes have the same host and prefix.
  static core::Result<std::shared_ptr<const RouteTable>>
  create(Configuration configuration);

  /// Returns the route of \p host whose prefix is the longest that begins
  /// \p path, or nullptr. A port in \p host and a query in \p path are passed
  /// over; hosts compare without regard to case.
  const Route *findRoute(std::string_view host, std::string_view path) const;

  /// Returns nullptr for an unknown name.
  const Service *findService(std::string_view name) const;

  /// Returns the account that holds \p key, or nullptr.
  const ClientAccount *findAccount(std::string_view key) const;

  const Configuration &configuration() const { return IndexedConfiguration; }

private:
  struct ViewHash {
    using is_transparent = void; // NOLINT: name fixed by the standard
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  template <typename Value>
  using ByName =
      std::unordered_map<std::string, Value, ViewHash, std::equal_to<>>;

  explicit RouteTable(Configuration configuration);
  core::Result<void> index();

  Configuration IndexedConfiguration;
  /// Routes of a host by prefix.
  ByName<ByName<const Route *>> Routes;
  ByName<const Service *> Services;
  ByName<const ClientAccount *> Accounts;
};

} // namespace acaciaroad::routing

#endif
