#include "Node/RequestIntake.h"

#include <algorithm>
#include <array>

#include "Core/Identifiers.h"
#include "Http/HeadCheck.h"

namespace acaciaroad::node {

using configuration::Execution;
using configuration::KeySource;

namespace {

constexpr std::string_view AuthorizationHeader = "Authorization";
constexpr std::string_view IdempotencyHeader = "Idempotency-Key";
constexpr std::string_view BearerPrefix = "Bearer ";

/// Longest Idempotency-Key in bytes.
constexpr std::size_t MaxIdempotencyKeyBytes = 256;

/// Request headers that no upstream receives from a caller.
constexpr std::array<std::string_view, 4> StrippedHeaders{
    AuthorizationHeader, IdempotencyHeader, "X-Request-Id",
    "Proxy-Authorization"};

/// Headers by which the node gives orders; a caller may not set them.
constexpr std::string_view OrderHeaderPrefix = "X-Acacia-";

bool isStripped(std::string_view name) {
  if (http::isSame(name.substr(0, OrderHeaderPrefix.size()), OrderHeaderPrefix))
    return true;
  return std::any_of(
      StrippedHeaders.begin(), StrippedHeaders.end(),
      [&](std::string_view it) { return http::isSame(it, name); });
}

std::string_view bearerOf(std::span<const wire::Header> headers) {
  const auto value = http::findHeader(headers, AuthorizationHeader);
  if (!value || value->size() <= BearerPrefix.size() ||
      !http::isSame(value->substr(0, BearerPrefix.size()), BearerPrefix))
    return {};
  return value->substr(BearerPrefix.size());
}

core::Result<std::string>
idempotencyKey(const configuration::WorkClass &workClass,
               std::span<const wire::Header> headers) {
  if (workClass.ExecutionMode != Execution::AtMostOnce)
    return std::string();
  const auto value = http::findHeader(headers, IdempotencyHeader);
  if (!value || value->empty())
    return core::fail(core::ErrorKind::IdempotencyKeyMissing);
  if (value->size() > MaxIdempotencyKeyBytes)
    return core::fail(core::ErrorKind::MalformedRequest,
                      "Idempotency-Key is too long");
  return std::string(*value);
}

/// A class that runs at most once but is not divided by key has its ids kept by
/// the owner of the id's own slice.
std::uint64_t keyHashOf(const AcceptedRequest &request, std::string_view key) {
  if (request.Class.Key != KeySource::None)
    return core::hashOf(key);
  return core::hashOf(request.Head.IdempotencyKey,
                      core::hashOf(request.Head.Account));
}

} // namespace

core::Result<AcceptedRequest>
acceptRequest(const configuration::Catalogue &catalogue,
              const CallerRequest &request, std::string_view requestId) {
  const auto account = catalogue.authenticate(bearerOf(request.Headers));
  if (!account)
    return tl::unexpected(account.error());
  const auto found = catalogue.findClass(configuration::pathOf(request.Target));
  if (!found)
    return tl::unexpected(found.error());
  AcceptedRequest out;
  out.Class = **found;
  const std::string_view bearer = bearerOf(request.Headers);
  out.KeyId = bearer.substr(0, bearer.find('.'));
  if (request.Body == wire::BodyMode::Sized &&
      request.BodyLength > out.Class.BodyLimitBytes)
    return core::fail(core::ErrorKind::BodyTooLarge);
  const auto key = configuration::routingKey(
      out.Class, request.Target, [&](std::string_view name) {
        return http::findHeader(request.Headers, name);
      });
  if (!key)
    return tl::unexpected(key.error());
  auto idempotency = idempotencyKey(out.Class, request.Headers);
  if (!idempotency)
    return tl::unexpected(idempotency.error());

  wire::ForwardHead &head = out.Head;
  head.RequestId = requestId;
  head.Method = request.Method;
  head.Target = request.Target;
  head.WorkClass = out.Class.Name;
  head.Account = (*account)->Name;
  head.Service = out.Class.Service;
  head.IdempotencyKey = std::move(*idempotency);
  head.Body = request.Body;
  head.BodyLength = request.BodyLength;
  for (const wire::Header &it : request.Headers)
    if (!isStripped(it.Name))
      head.Headers.push_back(it);
  out.IsKeyed = out.Class.Key != KeySource::None ||
                out.Class.ExecutionMode == Execution::AtMostOnce;
  if (out.IsKeyed)
    head.KeyHash = keyHashOf(out, *key);
  return out;
}

} // namespace acaciaroad::node
