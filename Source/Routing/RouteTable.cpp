#include "Routing/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace acaciaroad::routing {

namespace {

std::string toLower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

} // namespace

core::Result<std::shared_ptr<const RouteTable>>
RouteTable::create(Configuration configuration) {
  std::shared_ptr<RouteTable> out(new RouteTable(std::move(configuration)));
  if (auto done = out->index(); !done)
    return tl::unexpected(done.error());
  return std::shared_ptr<const RouteTable>(std::move(out));
}

RouteTable::RouteTable(Configuration configuration)
    : IndexedConfiguration(std::move(configuration)) {}

core::Result<void> RouteTable::index() {
  const auto invalid = [](std::string detail) {
    return core::fail(core::ErrorKind::InvalidArgument, std::move(detail));
  };
  for (const Service &it : IndexedConfiguration.Services)
    Services.emplace(it.Name, &it);
  for (const Route &it : IndexedConfiguration.Routes) {
    if (it.Services.empty())
      return invalid("route " + it.Name + " has no services");
    for (const WeightedService &entry : it.Services)
      if (!findService(entry.Service))
        return invalid("route " + it.Name + " refers to the unknown service " +
                       entry.Service);
    if (!Routes[toLower(it.Host)].emplace(it.PathPrefix, &it).second)
      return invalid("route " + it.Name +
                     " has the host and path prefix of another route");
  }
  for (const ClientAccount &it : IndexedConfiguration.Accounts)
    for (const std::string &key : it.Keys)
      if (!Accounts.emplace(key, &it).second)
        return invalid("account " + it.Name + " has a key of another account");
  return {};
}

const Route *RouteTable::findRoute(std::string_view host,
                                   std::string_view path) const {
  const auto found = Routes.find(toLower(host.substr(0, host.find(':'))));
  if (found == Routes.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  auto end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto it = found->second.find(path.substr(0, end + 1));
    if (it != found->second.end())
      return it->second;
    if (end == 0)
      break;
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const Service *RouteTable::findService(std::string_view name) const {
  const auto it = Services.find(name);
  return it == Services.end() ? nullptr : it->second;
}

const ClientAccount *RouteTable::findAccount(std::string_view key) const {
  const auto it = Accounts.find(key);
  return it == Accounts.end() ? nullptr : it->second;
}

} // namespace acaciaroad::routing
