#include "Programs/StandinUpstream/UpstreamFaults.h"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

namespace acaciaroad::standinupstream {

namespace {

using Json = nlohmann::json;

struct FaultField {
  std::string_view Name;
  void (*Set)(FaultRequest &request, const Json &value);
};

constexpr FaultField Fields[] = {
    {"freeze_ms",
     [](FaultRequest &request, const Json &value) {
       request.Freeze = std::chrono::milliseconds(value.get<std::uint32_t>());
     }},
    {"cold", [](FaultRequest &request,
                const Json &value) { request.TurnCold = value.get<bool>(); }},
    {"straggle_factor",
     [](FaultRequest &request, const Json &value) {
       request.Faults.StraggleFactor = value.get<double>();
     }},
    {"shed_permille",
     [](FaultRequest &request, const Json &value) {
       request.Faults.ShedPermille = value.get<std::uint32_t>();
     }},
    {"load_lag_ms",
     [](FaultRequest &request, const Json &value) {
       request.Faults.LoadLag =
           std::chrono::milliseconds(value.get<std::uint32_t>());
     }},
    {"misleading_load",
     [](FaultRequest &request, const Json &value) {
       request.Faults.MisleadingLoad = value.get<bool>();
     }},
    {"lose_answers",
     [](FaultRequest &request, const Json &value) {
       request.Faults.LoseAnswers = value.get<bool>();
     }},
    {"drop_connections",
     [](FaultRequest &request, const Json &value) {
       request.Faults.DropConnections = value.get<bool>();
     }},
};

const FaultField *findField(std::string_view name) {
  const auto *it =
      std::find_if(std::begin(Fields), std::end(Fields),
                   [&](const FaultField &field) { return field.Name == name; });
  return it == std::end(Fields) ? nullptr : it;
}

} // namespace

core::Result<FaultRequest> readFaultRequest(const UpstreamFaults &current,
                                            std::string_view body) {
  FaultRequest out;
  out.Faults = current;
  try {
    const Json object = Json::parse(body);
    for (const auto &[name, value] : object.items()) {
      const FaultField *field = findField(name);
      if (field == nullptr)
        return core::fail(core::ErrorKind::InvalidArgument,
                          "unknown fault " + name);
      field->Set(out, value);
    }
  } catch (const Json::exception &ec) {
    return core::fail(core::ErrorKind::InvalidArgument, ec.what());
  }
  return out;
}

} // namespace acaciaroad::standinupstream
