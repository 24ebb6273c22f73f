#include "Administration/ConfigurationEndpoints.h"

#include <algorithm>

#include "Administration/Representation.h"

namespace acaciaroad::administration {

using namespace configuration;
using core::ErrorKind;
using nlohmann::json;

namespace {

/// Body, parameters and basis of a change.
struct ParsedChange {
  FieldReader Reader;
  ChangeParameters Parameters;
};

core::Result<ParsedChange> parseChange(const ApiCall &call,
                                       const ChangeSubmitter &changes) {
  const std::string &body = call.Request.Body;
  auto reader = FieldReader::parse(body.empty() ? "{}" : body);
  if (!reader)
    return tl::unexpected(reader.error());
  auto parameters = changes.parameters(call, *reader);
  if (!parameters)
    return tl::unexpected(parameters.error());
  return ParsedChange{std::move(*reader), std::move(*parameters)};
}

/// Ends the reading of a change that has to state its basis.
core::Result<void> finishWithBasis(ParsedChange &change) {
  return change.Reader.finish().and_then([&]() -> core::Result<void> {
    if (!change.Parameters.Basis)
      return core::fail(ErrorKind::InvalidArgument, "basis");
    return {};
  });
}

template <typename Record>
ApiResult submitRemoval(const ApiCall &call, const ChangeSubmitter &changes) {
  auto change = parseChange(call, changes);
  if (!change)
    return refuse(change.error());
  if (const auto done = finishWithBasis(*change); !done)
    return refuse(done.error());
  const ChangeParameters &parameters = change->Parameters;
  return changes.submit(
      call, ConfigurationRecord(
                Record{parameters.Origin, *parameters.Basis, call.Item}));
}

/// Tells of a key that an earlier copy of the request made; its secret was in
/// that answer only.
ApiResponse repeatedGrant(const HistoryEntry &entry) {
  return ApiResponse::json({{"outcome", "accepted"},
                            {"offset", entry.Offset},
                            {"change_id", changeIdText(entry.Origin.ChangeId)},
                            {"key_id", entry.Name},
                            {"repeated", true}});
}

void showKey(ApiResponse &response, const KeyGrant &grant) {
  json body = json::parse(response.Body);
  body["key_id"] = grant.Record.KeyId;
  body["key"] = grant.Bearer;
  response.Body = body.dump();
}

/// The key may have been granted, and no later answer can show it.
void showKey(ApiFailure &failure, const KeyGrant &grant) {
  failure.Members["key_id"] = grant.Record.KeyId;
  failure.Members["key"] = grant.Bearer;
}

template <typename T> json listOf(const std::vector<T> &items) {
  json out = json::array();
  for (const T &it : items)
    out.push_back(toJson(it));
  return out;
}

/// Returns the item called \p name, or null.
template <typename T>
const T *findItem(const std::vector<T> &items, std::string_view name) {
  const auto it = std::find_if(items.begin(), items.end(), [&](const T &item) {
    return item.Value.Name == name;
  });
  return it == items.end() ? nullptr : &*it;
}

template <typename T> ApiResponse tagged(const T &item) {
  ApiResponse out = ApiResponse::json(toJson(item));
  out.Tag = std::to_string(item.ItemVersion);
  return out;
}

} // namespace

std::vector<Route> ConfigurationEndpoints::routes() {
  using Self = ConfigurationEndpoints;
  using Member = ApiResult (Self::*)(const ApiCall &) const;
  const auto bind = [self = shared_from_this()](Member member) {
    return
        [self, member](const ApiCall &call) { return (*self.*member)(call); };
  };
  return {
      {"GET", "/v1/classes", Access::Viewer, bind(&Self::listClasses)},
      {"GET", "/v1/classes/{name}", Access::Viewer, bind(&Self::getClass)},
      {"PUT", "/v1/classes/{name}", Access::Operator, bind(&Self::putClass)},
      {"DELETE", "/v1/classes/{name}", Access::Operator,
       bind(&Self::deleteClass)},
      {"GET", "/v1/accounts", Access::Viewer, bind(&Self::listAccounts)},
      {"GET", "/v1/accounts/{name}", Access::Viewer, bind(&Self::getAccount)},
      {"PUT", "/v1/accounts/{name}", Access::Operator, bind(&Self::putAccount)},
      {"DELETE", "/v1/accounts/{name}", Access::Operator,
       bind(&Self::deleteAccount)},
      {"GET", "/v1/keys", Access::Viewer, bind(&Self::listKeys)},
      {"POST", "/v1/keys", Access::Operator, bind(&Self::grantKey)},
      {"DELETE", "/v1/keys/{key_id}", Access::Operator,
       bind(&Self::withdrawKey)},
      {"GET", "/v1/history", Access::Viewer, bind(&Self::listHistory)},
  };
}

ApiResult ConfigurationEndpoints::absent(ItemKind kind,
                                         std::string_view name) const {
  const Version version = Hooks->View()->versionOf(kind, name);
  return tl::unexpected(ApiFailure({ErrorKind::NotFound, std::string(name)},
                                   {{"version", version}}));
}

ApiResult ConfigurationEndpoints::listClasses(const ApiCall & /*call*/) const {
  return ApiResponse::json({{"classes", listOf(Hooks->View()->classes())}});
}

ApiResult ConfigurationEndpoints::getClass(const ApiCall &call) const {
  const auto items = Hooks->View()->classes();
  const ClassItem *item = findItem(items, call.Item);
  return item ? ApiResult(tagged(*item)) : absent(ItemKind::Class, call.Item);
}

ApiResult ConfigurationEndpoints::putClass(const ApiCall &call) const {
  auto change = parseChange(call, Changes);
  if (!change)
    return refuse(change.error());
  WorkClass value;
  value.Name = call.Item;
  readClass(change->Reader, value);
  if (const auto done = finishWithBasis(*change); !done)
    return refuse(done.error());
  const ChangeParameters &parameters = change->Parameters;
  return Changes.submit(
      call, ConfigurationRecord(ClassSet{parameters.Origin, *parameters.Basis,
                                         std::move(value)}));
}

ApiResult ConfigurationEndpoints::deleteClass(const ApiCall &call) const {
  return submitRemoval<ClassRemoved>(call, Changes);
}

ApiResult ConfigurationEndpoints::listAccounts(const ApiCall & /*call*/) const {
  return ApiResponse::json({{"accounts", listOf(Hooks->View()->accounts())}});
}

ApiResult ConfigurationEndpoints::getAccount(const ApiCall &call) const {
  const auto items = Hooks->View()->accounts();
  const AccountItem *item = findItem(items, call.Item);
  return item ? ApiResult(tagged(*item)) : absent(ItemKind::Account, call.Item);
}

ApiResult ConfigurationEndpoints::putAccount(const ApiCall &call) const {
  auto change = parseChange(call, Changes);
  if (!change)
    return refuse(change.error());
  ClientAccount value;
  value.Name = call.Item;
  readAccount(change->Reader, value);
  if (const auto done = finishWithBasis(*change); !done)
    return refuse(done.error());
  const ChangeParameters &parameters = change->Parameters;
  return Changes.submit(
      call, ConfigurationRecord(AccountSet{parameters.Origin, *parameters.Basis,
                                           std::move(value)}));
}

ApiResult ConfigurationEndpoints::deleteAccount(const ApiCall &call) const {
  return submitRemoval<AccountRemoved>(call, Changes);
}

ApiResult ConfigurationEndpoints::listKeys(const ApiCall &call) const {
  const std::string_view account = call.Request.parameter("account");
  json keys = json::array();
  for (const KeyItem &it : Hooks->View()->keys())
    if (account.empty() || it.Value.Account == account)
      keys.push_back(toJson(it));
  return ApiResponse::json({{"keys", std::move(keys)}});
}

ApiResult ConfigurationEndpoints::grantKey(const ApiCall &call) const {
  auto change = parseChange(call, Changes);
  if (!change)
    return refuse(change.error());
  std::string account;
  change->Reader.text("account", account);
  if (const auto done = change->Reader.finish(); !done)
    return refuse(done.error());
  const auto view = Hooks->View();
  const auto &parameters = change->Parameters;
  const Version basis = parameters.Basis.value_or(view->nextOffset());
  const auto earlier = view->findChange(parameters.Origin.ChangeId);
  if (earlier && earlier->Kind == ItemKind::Key)
    return repeatedGrant(*earlier);
  const auto grant =
      KeyGrant::create(parameters.Origin, account, basis, Hooks->Random);
  if (!grant)
    return refuse(grant.error());
  auto result = Changes.submit(call, ConfigurationRecord(grant->Record));
  if (result && !call.isDryRun())
    showKey(*result, *grant);
  if (!result && result.error().Error.Kind == ErrorKind::LogOutcomeUnknown)
    showKey(result.error(), *grant);
  return result;
}

ApiResult ConfigurationEndpoints::withdrawKey(const ApiCall &call) const {
  auto change = parseChange(call, Changes);
  if (!change)
    return refuse(change.error());
  if (const auto done = change->Reader.finish(); !done)
    return refuse(done.error());
  const auto view = Hooks->View();
  const bool isRepeated =
      view->findChange(change->Parameters.Origin.ChangeId).has_value();
  if (!view->findKey(call.Item) && !isRepeated)
    return absent(ItemKind::Key, call.Item);
  return Changes.submit(call, ConfigurationRecord(KeyWithdrawn{
                                  change->Parameters.Origin, call.Item}));
}

ApiResult ConfigurationEndpoints::listHistory(const ApiCall & /*call*/) const {
  return ApiResponse::json({{"history", listOf(Hooks->View()->history())}});
}

} // namespace acaciaroad::administration
