/// \file
/// Lookup of routes, services and client accounts.

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

/// An immutable configuration with indexes for lookup.
class RouteTable {
public:
  /// Fails with InvalidArgument if a route has no services or an unknown one,
  /// if two routes have the same host and prefix, or if two accounts have the
  /// same key.
  static core::Result<std::shared_ptr<const RouteTable>>
  create(Configuration configuration);

  /// Returns the route of \p host with the longest prefix of \p path, or
  /// nullptr. Ignores a port in \p host and a query in \p path; hosts are
  /// compared without regard to case.
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
  /// Routes by lower-case host, then by path prefix.
  ByName<ByName<const Route *>> Routes;
  ByName<const Service *> Services;
  ByName<const ClientAccount *> Accounts;
};

} // namespace acaciaroad::routing

#endif
