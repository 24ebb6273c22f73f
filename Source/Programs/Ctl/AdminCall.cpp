#include "Programs/Ctl/AdminCall.h"

#include <memory>

#include <fmt/format.h>
#include <httplib.h>

#include "Core/Endpoint.h"

namespace acaciaroad::ctl {

using core::ErrorKind;
using core::fail;
using core::Result;
using nlohmann::json;

namespace {

constexpr int FirstErrorStatus = 400;
/// Seconds; longer than the longest wait that a call asks for.
constexpr time_t AnswerTimeout = 40;
constexpr time_t ConnectTimeout = 3;

Result<AdminAnswer> send(const core::Endpoint &node, const std::string &token,
                         const AdminCall &call) {
  httplib::Client client(node.Host, node.Port);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(ConnectTimeout);
  client.set_read_timeout(AnswerTimeout);
  httplib::Request request;
  request.method = call.Method;
  request.path = call.Target;
  request.headers.emplace("Authorization", "Bearer " + token);
  request.body = call.Body;
  if (!call.Body.empty())
    request.headers.emplace("Content-Type", "application/json");
  const auto result = client.send(request);
  if (result)
    return AdminAnswer{result->status, result->body};
  const bool isUnsent = result.error() == httplib::Error::Connection ||
                        result.error() == httplib::Error::ConnectionTimeout;
  return fail(isUnsent ? ErrorKind::PeerUnreachable : ErrorKind::OutcomeUnknown,
              httplib::to_string(result.error()));
}

} // namespace

Result<json> toJson(const AdminAnswer &answer) {
  auto body = json::parse(answer.Body, nullptr, false);
  if (!body.is_object())
    return fail(ErrorKind::CorruptMessage, "the node's answer is not JSON");
  if (answer.Status < FirstErrorStatus)
    return body;
  const auto kind = core::errorKindFromName(body.value("kind", ""));
  std::string detail = body.value("title", "") + ": ";
  detail += body.value("detail", "");
  if (body.contains("version"))
    detail += fmt::format(" (current version {})", body["version"].dump());
  return fail(kind.value_or(ErrorKind::Internal), std::move(detail));
}

Result<Transport> httpTransport(std::string_view address, std::string token) {
  const auto node = core::parseEndpoint(address);
  if (!node)
    return fail(ErrorKind::InvalidArgument, "--node must be ip:port");
  return Transport(
      [node = *node, token = std::move(token)](const AdminCall &call) {
        return send(node, token, call);
      });
}

} // namespace acaciaroad::ctl
