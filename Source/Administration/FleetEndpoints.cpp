#include "Administration/FleetEndpoints.h"

#include <algorithm>

#include "Administration/Representation.h"
#include "Configuration/Validation.h"
#include "Core/ParseNumber.h"

namespace acaciaroad::administration {

using core::ErrorKind;
using core::fail;
using core::Result;
using nlohmann::json;

namespace {

constexpr std::uint32_t FullShare = 1000;
constexpr std::chrono::milliseconds MaxWait = std::chrono::seconds(30);

ApiResponse unchanged() {
  return ApiResponse::json({{"outcome", "accepted"}, {"repeated", true}});
}

Result<FieldReader> parseBody(const ApiCall &call) {
  const std::string &body = call.Request.Body;
  return FieldReader::parse(body.empty() ? "{}" : body);
}

} // namespace

std::vector<Route> FleetEndpoints::routes() {
  using Self = FleetEndpoints;
  using Member = ApiResult (Self::*)(const ApiCall &) const;
  const auto bind = [self = shared_from_this()](Member member) {
    return
        [self, member](const ApiCall &call) { return (*self.*member)(call); };
  };
  return {
      {"GET", "/v1/status", Access::Viewer, bind(&Self::status)},
      {"GET", "/v1/data-centres", Access::Viewer, bind(&Self::listDataCentres)},
      {"PUT", "/v1/data-centres/{name}", Access::Operator,
       bind(&Self::putDataCentre)},
      {"POST", "/v1/data-centres/{name}/out", Access::Operator,
       bind(&Self::dataCentreOut)},
      {"POST", "/v1/data-centres/{name}/in", Access::Operator,
       bind(&Self::dataCentreIn)},
      {"GET", "/v1/instances", Access::Viewer, bind(&Self::listInstances)},
      {"POST", "/v1/instances/{instance}/drain", Access::Operator,
       bind(&Self::drainInstance)},
      {"POST", "/v1/instances/{instance}/declare-lost", Access::Operator,
       bind(&Self::declareLost)},
      {"GET", "/v1/owner", Access::Viewer, bind(&Self::findOwner)},
      {"GET", "/v1/in-force", Access::Viewer, bind(&Self::inForce)},
  };
}

ApiResult FleetEndpoints::status(const ApiCall & /*call*/) const {
  return ApiResponse::json(toJson(Hooks->Status()));
}

ApiResult FleetEndpoints::listDataCentres(const ApiCall & /*call*/) const {
  json out = json::array();
  for (const DataCentreLine &it : Hooks->Status().DataCentres)
    out.push_back(toJson(it));
  return ApiResponse::json({{"data_centres", std::move(out)}});
}

ApiResult FleetEndpoints::putDataCentre(const ApiCall &call) const {
  auto reader = parseBody(call);
  if (!reader)
    return refuse(reader.error());
  std::uint32_t share = FullShare;
  reader->number("share_permille", share);
  return setShare(call, *reader, share);
}

ApiResult FleetEndpoints::dataCentreOut(const ApiCall &call) const {
  auto reader = parseBody(call);
  if (!reader)
    return refuse(reader.error());
  return setShare(call, *reader, 0);
}

ApiResult FleetEndpoints::dataCentreIn(const ApiCall &call) const {
  auto reader = parseBody(call);
  if (!reader)
    return refuse(reader.error());
  return setShare(call, *reader, FullShare);
}

ApiResult FleetEndpoints::setShare(const ApiCall &call, FieldReader &reader,
                                   std::uint32_t sharePermille) const {
  const auto parameters = Changes.parameters(call, reader);
  if (!parameters)
    return refuse(parameters.error());
  if (const auto done = reader.finish(); !done)
    return refuse(done.error());
  if (sharePermille > FullShare)
    return refuse(ErrorKind::InvalidArgument, "share_permille");
  if (!parameters->Basis)
    return refuse(ErrorKind::InvalidArgument, "basis");
  const FleetStatus status = Hooks->Status();
  const auto it = std::find_if(
      status.DataCentres.begin(), status.DataCentres.end(),
      [&](const DataCentreLine &line) { return line.Name == call.Item; });
  if (it == status.DataCentres.end())
    return refuse(ErrorKind::NotFound, call.Item);
  if (it->Version == *parameters->Basis)
    return Changes.submit(
        call, ownership::OwnershipRecord(ownership::DataCentreShareSet{
                  call.Item, it->Version, sharePermille}));
  if (it->SharePermille == sharePermille)
    return unchanged();
  return tl::unexpected(
      ApiFailure({ErrorKind::Conflict, call.Item}, {{"version", it->Version}}));
}

ApiResult FleetEndpoints::listInstances(const ApiCall & /*call*/) const {
  json out = json::array();
  for (const InstanceLine &it : Hooks->Status().Instances)
    out.push_back(toJson(it));
  return ApiResponse::json({{"instances", std::move(out)}});
}

Result<InstanceLine>
FleetEndpoints::findInstance(std::string_view nameOrId) const {
  const FleetStatus status = Hooks->Status();
  const InstanceLine *found = nullptr;
  for (const InstanceLine &it : status.Instances) {
    if (core::toString(it.Id) == nameOrId)
      return it;
    if (it.Name != nameOrId)
      continue;
    // A name outlives its incarnations; a former one may still be listed.
    if (found)
      return fail(ErrorKind::InvalidArgument,
                  "several instances have this name; use the id");
    found = &it;
  }
  if (!found)
    return fail(ErrorKind::NotFound, std::string(nameOrId));
  return *found;
}

ApiResult FleetEndpoints::drainInstance(const ApiCall &call) const {
  const auto instance = findInstance(call.Item);
  if (!instance)
    return refuse(instance.error());
  if (instance->State != "live")
    return unchanged();
  return Changes.submit(call, ownership::OwnershipRecord(
                                  ownership::InstanceLeaving{instance->Id}));
}

ApiResult FleetEndpoints::declareLost(const ApiCall &call) const {
  auto reader = parseBody(call);
  if (!reader)
    return refuse(reader.error());
  std::string confirmed;
  reader->text("confirm_id", confirmed);
  if (const auto done = reader->finish(); !done)
    return refuse(done.error());
  const auto instance = findInstance(call.Item);
  if (!instance)
    return refuse(instance.error());
  // The record asserts that one incarnation no longer runs; a name that has
  // passed to a new incarnation must not retire that one.
  if (confirmed != core::toString(instance->Id))
    return refuse(ErrorKind::InvalidArgument, "confirm_id");
  return Changes.submit(
      call, ownership::OwnershipRecord(ownership::InstanceRetired{
                instance->Id, instance->WitnessVersion,
                ownership::RetireReason::DeclaredLost, Hooks->Status().Self}));
}

ApiResult FleetEndpoints::findOwner(const ApiCall &call) const {
  const auto report = Hooks->FindOwner(call.Request.parameter("service"),
                                       call.Request.parameter("key"));
  if (!report)
    return refuse(report.error());
  return ApiResponse::json(toJson(*report));
}

ApiResult FleetEndpoints::inForce(const ApiCall &call) const {
  const auto offset =
      core::parseNumber<std::uint64_t>(call.Request.parameter("offset"));
  if (!offset)
    return refuse(ErrorKind::InvalidArgument, "offset");
  const std::string_view waitText = call.Request.parameter("wait_ms");
  const auto wait = core::parseNumber<std::uint64_t>(waitText);
  if (!waitText.empty() && !wait)
    return refuse(ErrorKind::InvalidArgument, "wait_ms");
  const auto bounded =
      std::min(wait.value_or(0), static_cast<std::uint64_t>(MaxWait.count()));
  return ApiResponse::json(
      toJson(Hooks->InForce(*offset, std::chrono::milliseconds(bounded))));
}

} // namespace acaciaroad::administration
