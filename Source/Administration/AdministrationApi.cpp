#include "Administration/AdministrationApi.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <optional>

#include "Administration/ConfigurationEndpoints.h"
#include "Administration/FleetEndpoints.h"
#include "Administration/NodeEndpoints.h"
#include "Configuration/PercentDecoding.h"

namespace acaciaroad::administration {

using core::ErrorKind;
using core::fail;
using core::Result;

namespace {

bool isComplete(const AdministrationHooks &hooks) {
  return hooks.Submit && hooks.View && hooks.Status && hooks.FindOwner &&
         hooks.InForce && hooks.Totals && hooks.SetLogLevel && hooks.Announce &&
         hooks.UpstreamLeave && hooks.Metrics && hooks.OnChange &&
         hooks.UnixMilliseconds && hooks.Random;
}

/// Counts a call as long as it lives.
class CallCount {
public:
  explicit CallCount(std::atomic<int> &count) : Now(++count), Count(count) {}
  CallCount(const CallCount &) = delete;
  CallCount &operator=(const CallCount &) = delete;
  ~CallCount() { --Count; }

  const int Now;

private:
  std::atomic<int> &Count;
};

/// Returns what stands for the "{...}" of \p pattern, "" if it has none, or
/// nothing if \p path does not match.
std::optional<std::string> match(std::string_view pattern,
                                 std::string_view path) {
  if (path.ends_with('/'))
    return std::nullopt;
  std::string item;
  while (!pattern.empty() && !path.empty()) {
    const std::string_view wanted = configuration::takeUntil(pattern, '/');
    const std::string_view found = configuration::takeUntil(path, '/');
    if (wanted.starts_with('{') && !found.empty())
      item = found;
    else if (wanted != found)
      return std::nullopt;
  }
  if (!pattern.empty() || !path.empty())
    return std::nullopt;
  return item;
}

void append(std::vector<Route> &routes, std::vector<Route> more) {
  std::move(more.begin(), more.end(), std::back_inserter(routes));
}

} // namespace

Result<std::shared_ptr<AdministrationApi>>
AdministrationApi::create(AdministrationHooks hooks, OperatorTokens tokens,
                          std::vector<std::string> ownAddresses) {
  if (!isComplete(hooks))
    return fail(ErrorKind::InvalidSettings, "a hook is not set");
  const auto shared =
      std::make_shared<const AdministrationHooks>(std::move(hooks));
  return std::shared_ptr<AdministrationApi>(new AdministrationApi(
      shared, std::move(tokens), std::move(ownAddresses)));
}

AdministrationApi::AdministrationApi(
    const std::shared_ptr<const AdministrationHooks> &hooks,
    OperatorTokens tokens, std::vector<std::string> ownAddresses)
    : Tokens(std::move(tokens)), OwnAddresses(std::move(ownAddresses)) {
  append(Routes, std::make_shared<ConfigurationEndpoints>(hooks)->routes());
  append(Routes, std::make_shared<FleetEndpoints>(hooks)->routes());
  append(Routes, std::make_shared<NodeEndpoints>(hooks)->routes());
}

ApiResponse AdministrationApi::handle(const ApiRequest &request) const {
  // Hooks and the JSON library may throw; a server thread must not.
  try {
    const ApiResult result = dispatch(request);
    return result ? *result : problem(result.error());
  } catch (const std::exception &) {
    return problem(core::Error{ErrorKind::Internal, {}});
  }
}

ApiResult AdministrationApi::dispatch(const ApiRequest &request) const {
  bool isKnownPath = false;
  for (const Route &it : Routes) {
    const auto item = match(it.Pattern, request.Path);
    isKnownPath = isKnownPath || item;
    if (!item || it.Method != request.Method)
      continue;
    auto who = authorize(it, request);
    if (!who)
      return refuse(who.error());
    return callRoute(it, ApiCall{request, *item, std::move(*who)});
  }
  if (isKnownPath)
    return refuse(ErrorKind::MalformedRequest, "the path has no such method");
  return refuse(ErrorKind::NotFound, request.Path);
}

ApiResult AdministrationApi::callRoute(const Route &route,
                                       const ApiCall &call) const {
  if (route.Needs == Access::OwnUpstream)
    return route.Handle(call);
  const CallCount count(OperatorCalls);
  if (count.Now > MaxOperatorCalls)
    return refuse(ErrorKind::QueueFull, "too many calls of operators at once");
  return route.Handle(call);
}

Result<OperatorIdentity>
AdministrationApi::authorize(const Route &route,
                             const ApiRequest &request) const {
  if (route.Needs == Access::OwnUpstream) {
    if (!isOwnAddress(request.RemoteAddress))
      return fail(ErrorKind::NotAuthorized,
                  "only the upstream beside the node may call this");
    return OperatorIdentity{"upstream", Role::Viewer};
  }
  auto who = Tokens.authenticate(request.Bearer);
  if (who && route.Needs == Access::Operator && who->Has != Role::Operator)
    return fail(ErrorKind::NotAuthorized);
  return who;
}

bool AdministrationApi::isOwnAddress(std::string_view address) const {
  constexpr std::string_view MappedPrefix = "::ffff:";
  if (address.starts_with(MappedPrefix))
    address.remove_prefix(MappedPrefix.size());
  return address.starts_with("127.") || address == "::1" ||
         std::find(OwnAddresses.begin(), OwnAddresses.end(), address) !=
             OwnAddresses.end();
}

} // namespace acaciaroad::administration
