#include "Http/Problem.h"

#include <nlohmann/json.hpp>

namespace acaciaroad::http {

std::string problemDocument(const core::Error &error,
                            std::string_view requestId) {
  using nlohmann::ordered_json;
  const core::Answer &answer = core::answerFor(error.Kind);
  ordered_json out;
  out["type"] = "urn:acaciaroad:problem:" + std::string(answer.Name);
  out["title"] = std::string(answer.Title);
  out["status"] = answer.HttpStatus;
  if (!error.Detail.empty())
    out["detail"] = error.Detail;
  out["kind"] = std::string(answer.Name);
  out["ran"] = std::string(core::toString(answer.HasRan));
  out["request_id"] = std::string(requestId);
  // Details may quote bytes of a request that are not UTF-8.
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace acaciaroad::http
