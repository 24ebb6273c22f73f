/// \file
/// Requests and responses of the administration API, apart from their
/// transport.

#ifndef ACACIAROAD_ADMINISTRATION_APIMESSAGES_H
#define ACACIAROAD_ADMINISTRATION_APIMESSAGES_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Administration/OperatorTokens.h"
#include "Core/Error.h"

namespace acaciaroad::administration {

struct ApiRequest {
  std::string Method;
  /// Decoded, without query.
  std::string Path;
  std::map<std::string, std::string, std::less<>> Query;
  /// Token of the Authorization header; empty without one.
  std::string Bearer;
  /// Value of If-Match without quotes; empty without one.
  std::string IfMatch;
  std::string Body;
  /// Numeric address of the caller.
  std::string RemoteAddress;

  /// Returns the value of a query parameter, or "".
  std::string_view parameter(std::string_view name) const;
};

struct ApiResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  /// Version of the item, for ETag; empty without one.
  std::string Tag;
  /// Seconds; 0 without one.
  int RetryAfterSeconds = 0;

  static ApiResponse json(const nlohmann::json &body);
  static ApiResponse text(std::string body, std::string contentType);
};

/// Who may call a route.
enum class Access : std::uint8_t {
  Viewer,
  Operator,
  /// The upstream beside the node: callers at the node's own addresses, without
  /// a token.
  OwnUpstream,
};

/// A request that reached its route.
struct ApiCall {
  const ApiRequest &Request;
  /// What stands for the "{...}" of the pattern.
  std::string Item;
  OperatorIdentity Who;

  /// Whether "dry_run=true" is asked for.
  bool isDryRun() const;
};

/// A failed call: the error and further members of the problem document.
struct ApiFailure {
  core::Error Error;
  nlohmann::json Members = nlohmann::json::object();

  // NOLINTNEXTLINE(google-explicit-constructor): errors of all modules fit.
  ApiFailure(core::Error error) : Error(std::move(error)) {}
  ApiFailure(core::Error error, nlohmann::json members)
      : Error(std::move(error)), Members(std::move(members)) {}
};

using ApiResult = tl::expected<ApiResponse, ApiFailure>;

/// Returns the failure branch of an ApiResult.
inline tl::unexpected<ApiFailure> refuse(core::ErrorKind kind,
                                         std::string detail = {}) {
  return tl::unexpected<ApiFailure>(core::Error{kind, std::move(detail)});
}

inline tl::unexpected<ApiFailure> refuse(const core::Error &error) {
  return tl::unexpected<ApiFailure>(error);
}

/// Returns the problem document (RFC 7807) of a failure.
ApiResponse problem(const ApiFailure &failure);

/// One operation of the API.
struct Route {
  std::string Method;
  /// Path with at most one "{...}" segment.
  std::string Pattern;
  Access Needs = Access::Viewer;
  std::function<ApiResult(const ApiCall &)> Handle;
};

} // namespace acaciaroad::administration

#endif
