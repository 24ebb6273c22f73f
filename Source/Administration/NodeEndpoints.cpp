#include "Administration/NodeEndpoints.h"

#include "Administration/Representation.h"
#include "Core/Endpoint.h"

namespace acaciaroad::administration {

using core::ErrorKind;

namespace {

ApiResult outcomeOf(const core::Result<void> &result) {
  if (!result)
    return refuse(result.error());
  return ApiResponse::json({{"outcome", "accepted"}});
}

} // namespace

std::vector<Route> NodeEndpoints::routes() {
  using Self = NodeEndpoints;
  using Member = ApiResult (Self::*)(const ApiCall &) const;
  const auto bind = [self = shared_from_this()](Member member) {
    return
        [self, member](const ApiCall &call) { return (*self.*member)(call); };
  };
  return {
      {"POST", "/v1/upstream/announce", Access::OwnUpstream,
       bind(&Self::announce)},
      {"POST", "/v1/upstream/leave", Access::OwnUpstream, bind(&Self::leave)},
      {"GET", "/v1/totals", Access::Viewer, bind(&Self::totals)},
      {"PUT", "/v1/log-level", Access::Operator, bind(&Self::setLogLevel)},
      {"GET", "/metrics", Access::Viewer, bind(&Self::metrics)},
  };
}

ApiResult NodeEndpoints::announce(const ApiCall &call) const {
  auto reader = FieldReader::parse(call.Request.Body);
  if (!reader)
    return refuse(reader.error());
  upstream::UpstreamAnnouncement announcement;
  readAnnouncement(*reader, announcement);
  if (const auto done = reader->finish(); !done)
    return refuse(done.error());
  if (!core::parseEndpoint(announcement.Address))
    return refuse(ErrorKind::InvalidArgument, "address");
  return outcomeOf(Hooks->Announce(announcement));
}

ApiResult NodeEndpoints::leave(const ApiCall & /*call*/) const {
  return outcomeOf(Hooks->UpstreamLeave());
}

ApiResult NodeEndpoints::totals(const ApiCall &call) const {
  const std::string_view day = call.Request.parameter("day");
  const std::string_view format = call.Request.parameter("format");
  const auto range = parseDay(day);
  if (!range)
    return refuse(range.error());
  if (!format.empty() && format != "json" && format != "csv")
    return refuse(ErrorKind::InvalidArgument, "format");
  const auto totals = Hooks->Totals(*range);
  if (!totals)
    return refuse(totals.error());
  if (format == "csv")
    return ApiResponse::text(totals->toCsv(day), "text/csv");
  return ApiResponse::json(toJson(*totals));
}

ApiResult NodeEndpoints::setLogLevel(const ApiCall &call) const {
  auto reader = FieldReader::parse(call.Request.Body);
  if (!reader)
    return refuse(reader.error());
  std::string level;
  reader->text("level", level);
  if (const auto done = reader->finish(); !done)
    return refuse(done.error());
  return outcomeOf(Hooks->SetLogLevel(level));
}

ApiResult NodeEndpoints::metrics(const ApiCall & /*call*/) const {
  return ApiResponse::text(Hooks->Metrics(), "text/plain; version=0.0.4");
}

} // namespace acaciaroad::administration
