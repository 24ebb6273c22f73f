#include "Administration/ApiMessages.h"

namespace acaciaroad::administration {

namespace {

std::string dump(const nlohmann::json &body) {
  using Handler = nlohmann::json::error_handler_t;
  return body.dump(-1, ' ', false, Handler::replace);
}

} // namespace

std::string_view ApiRequest::parameter(std::string_view name) const {
  const auto it = Query.find(name);
  return it == Query.end() ? std::string_view() : it->second;
}

ApiResponse ApiResponse::json(const nlohmann::json &body) {
  ApiResponse out;
  out.Body = dump(body);
  return out;
}

ApiResponse ApiResponse::text(std::string body, std::string contentType) {
  ApiResponse out;
  out.Body = std::move(body);
  out.ContentType = std::move(contentType);
  return out;
}

bool ApiCall::isDryRun() const {
  return Request.parameter("dry_run") == "true";
}

ApiResponse problem(const ApiFailure &failure) {
  const core::Answer &answer = core::answerFor(failure.Error.Kind);
  nlohmann::json body = failure.Members;
  body["type"] = "about:blank";
  body["title"] = answer.Title;
  body["status"] = answer.HttpStatus;
  body["kind"] = answer.Name;
  body["ran"] = core::toString(answer.HasRan);
  if (!failure.Error.Detail.empty())
    body["detail"] = failure.Error.Detail;
  ApiResponse out;
  out.Status = answer.HttpStatus;
  out.ContentType = "application/problem+json";
  out.Body = dump(body);
  out.RetryAfterSeconds = answer.RetryAfterSeconds;
  return out;
}

} // namespace acaciaroad::administration
