#include "Programs/Load/Sender.h"

#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace acaciaroad::load {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz";

void replace(std::string &text, std::string_view mark, std::string_view by) {
  const std::size_t n = text.find(mark);
  if (n != std::string::npos)
    text.replace(n, mark.size(), by);
}

std::string bodyFor(const WorkClass &workClass) {
  return std::string(workClass.BodyBytes, 'x');
}

Ending endingOf(httplib::Error error) {
  switch (error) {
  case httplib::Error::Connection:
  case httplib::Error::ConnectionTimeout:
  case httplib::Error::BindIPAddress:
    return {Outcome::Unreachable};
  default:
    return {Outcome::Broken};
  }
}

Ending endingOfProblem(const httplib::Response &response) {
  const Json body = Json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("kind") || !body["kind"].is_string())
    return {Outcome::BadStatus};
  const auto kind = core::errorKindFromName(body["kind"].get<std::string>());
  if (!kind)
    return {Outcome::BadStatus};
  const bool isRefusal = core::answerFor(*kind).HasRan == core::Ran::No;
  return {isRefusal ? Outcome::Refused : Outcome::Unknown, *kind};
}

/// Whether \p body repeats the letters to the length asked for.
bool isPattern(std::string_view body, std::size_t length) {
  if (body.size() != length)
    return false;
  for (std::size_t n = 0; n < length; ++n)
    if (body[n] != Letters[n % Letters.size()])
      return false;
  return true;
}

/// Whether \p body is the upstream's echo of \p request.
bool isEcho(std::string_view body, const httplib::Request &request) {
  const Json echo = Json::parse(body, nullptr, false);
  return echo.is_object() && echo.value("method", "") == request.method &&
         echo.value("path", "") == request.path &&
         echo.value("bytes", std::size_t{0}) == request.body.size();
}

} // namespace

Sender::Sender(const Experiment &experiment, const core::Endpoint &target,
               AnswerHandler onAnswer)
    : Plan(experiment), Http(target.Host, target.Port),
      OnAnswer(std::move(onAnswer)) {
  Http.set_keep_alive(true);
  Http.set_tcp_nodelay(true);
  Http.set_connection_timeout(Plan.Timeout);
  Http.set_read_timeout(Plan.Timeout);
  Http.set_write_timeout(Plan.Timeout);
}

Ending Sender::send(const Shot &shot) {
  const httplib::Request request = requestFor(shot);
  const core::TimePoint start = core::BootClock::now();
  const httplib::Result answer = Http.send(request);
  const bool isLate = core::BootClock::now() - start >= Plan.Timeout;
  if (answer && OnAnswer)
    tellAnswer(request, *answer);
  if (!answer && isLate)
    return {Outcome::Timeout};
  return judge(request, answer, Plan.Classes[Plan.Flows[shot.Flow].Class]);
}

void Sender::tellAnswer(const httplib::Request &request,
                        const httplib::Response &response) const {
  const std::string id = response.get_header_value("X-Request-Id");
  std::string echoed;
  if (response.status == StatusOk) {
    const Json echo = Json::parse(response.body, nullptr, false);
    if (echo.is_object())
      echoed = echo.value("path", "");
  }
  OnAnswer({id, request.path, echoed, response.status});
}

httplib::Request Sender::requestFor(const Shot &shot) const {
  const Flow &flow = Plan.Flows[shot.Flow];
  const WorkClass &workClass = Plan.Classes[flow.Class];
  httplib::Request out;
  out.method = workClass.Method;
  out.path = workClass.Path;
  replace(out.path, "{key}", fmt::format("k{}", shot.Key));
  replace(out.path, "{n}", std::to_string(shot.Number));
  if (workClass.AnswerBytes != 0)
    out.path += fmt::format("?bytes={}", workClass.AnswerBytes);
  if (const std::string &key = Plan.Accounts[flow.Account].Key; !key.empty())
    out.headers.emplace("Authorization", "Bearer " + key);
  if (workClass.IsAtMostOnce)
    out.headers.emplace("Idempotency-Key", fmt::format("{}-{}-{}", Plan.Name,
                                                       Plan.Seed, shot.Number));
  out.body = bodyFor(workClass);
  if (!out.body.empty())
    out.headers.emplace("Content-Type", "application/octet-stream");
  return out;
}

Ending Sender::judge(const httplib::Request &request,
                     const httplib::Result &answer,
                     const WorkClass &workClass) const {
  if (!answer)
    return endingOf(answer.error());
  if (answer->status != StatusOk)
    return endingOfProblem(*answer);
  const bool isOwn = workClass.AnswerBytes != 0
                         ? isPattern(answer->body, workClass.AnswerBytes)
                         : isEcho(answer->body, request);
  return {isOwn ? Outcome::Served : Outcome::Crossed};
}

} // namespace acaciaroad::load
