#include "Administration/AdministrationServer.h"

#include <array>

#include "Configuration/PercentDecoding.h"
#include "Configuration/RoutingKey.h"
#include "Http/Exchange.h"

namespace acaciaroad::administration {

using configuration::percentDecode;
using configuration::PlusSign;
using configuration::takeUntil;
using core::ErrorKind;
using core::fail;
using core::Result;

namespace {

constexpr std::size_t Threads = 16;
static_assert(Threads > AdministrationApi::MaxOperatorCalls,
              "operators must leave a thread to the upstream");
constexpr std::size_t MaxConnections = 256;

std::string_view withoutQuotes(std::string_view text) {
  const bool isQuoted =
      text.size() >= 2 && text.starts_with('"') && text.ends_with('"');
  return isQuoted ? text.substr(1, text.size() - 2) : text;
}

void readHeaders(const http::Exchange &exchange, ApiRequest &out) {
  constexpr std::string_view Scheme = "Bearer ";
  const auto headers = exchange.headers();
  const auto token = http::findHeader(headers, "Authorization").value_or("");
  if (token.starts_with(Scheme))
    out.Bearer = token.substr(Scheme.size());
  out.IfMatch =
      withoutQuotes(http::findHeader(headers, "If-Match").value_or(""));
}

Result<void> readBody(http::Exchange &exchange, std::string &out) {
  std::array<std::byte, 4096> buf{};
  while (true) {
    const auto n = exchange.readBody(buf);
    if (!n)
      return tl::unexpected(n.error());
    if (*n == 0)
      return {};
    if (out.size() + *n > AdministrationServer::MaxBodyBytes)
      return fail(ErrorKind::BodyTooLarge);
    for (std::byte it : std::span(buf).first(*n))
      out.push_back(static_cast<char>(it));
  }
}

Result<ApiRequest> readRequest(http::Exchange &exchange) {
  ApiRequest out;
  out.Method = exchange.method();
  out.RemoteAddress = exchange.remoteAddress();
  readHeaders(exchange, out);
  return readTarget(exchange.target(), out)
      .and_then([&] { return readBody(exchange, out.Body); })
      .map([&] { return std::move(out); });
}

void respond(http::Exchange &exchange, const ApiResponse &response) {
  std::vector<core::Header> headers = {
      {"Content-Type", response.ContentType},
      {"Cache-Control", "no-store"},
  };
  if (!response.Tag.empty())
    headers.push_back({"ETag", '"' + response.Tag + '"'});
  if (response.RetryAfterSeconds > 0)
    headers.push_back(
        {"Retry-After", std::to_string(response.RetryAfterSeconds)});
  const std::span<const char> body(response.Body);
  // A caller that is gone needs no answer; a change can be asked for again.
  (void)exchange.respond(response.Status, headers, std::as_bytes(body));
}

void serve(const AdministrationApi &api, http::Exchange &exchange) {
  const auto request = readRequest(exchange);
  if (request)
    respond(exchange, api.handle(*request));
  else
    respond(exchange, problem(request.error()));
}

} // namespace

Result<void> readTarget(std::string_view target, ApiRequest &out) {
  const auto path =
      percentDecode(configuration::pathOf(target), PlusSign::Literal);
  if (!path)
    return tl::unexpected(path.error());
  out.Path = *path;
  takeUntil(target, '?');
  while (!target.empty()) {
    std::string_view value = takeUntil(target, '&');
    const auto name = percentDecode(takeUntil(value, '='), PlusSign::Space);
    const auto decoded = percentDecode(value, PlusSign::Space);
    if (!name || !decoded)
      return fail(ErrorKind::MalformedRequest, "broken percent escape");
    if (!out.Query.emplace(*name, *decoded).second)
      return fail(ErrorKind::MalformedRequest, "a parameter is given twice");
  }
  return {};
}

Result<std::unique_ptr<AdministrationServer>>
AdministrationServer::create(const core::Endpoint &listen,
                             std::shared_ptr<const AdministrationApi> api) {
  http::CallerServerOptions options;
  options.Host = listen.Host;
  options.Port = listen.Port;
  options.Threads = Threads;
  options.Connections.Limit = MaxConnections;
  auto server = http::CallerServer::create(
      options,
      [api = std::move(api)](const auto &exchange) { serve(*api, *exchange); });
  if (!server)
    return tl::unexpected(server.error());
  std::unique_ptr<AdministrationServer> out(new AdministrationServer());
  out->Server = std::move(*server);
  return out;
}

} // namespace acaciaroad::administration
