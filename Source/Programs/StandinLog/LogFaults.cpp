#include "Programs/StandinLog/LogFaults.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace acaciaroad::standinlog {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 3> OutageNames = {"none", "refuse",
                                                         "drop"};

core::Result<Outage> outageFromName(std::string_view name) {
  const auto *it = std::find(OutageNames.begin(), OutageNames.end(), name);
  if (it == OutageNames.end())
    return core::fail(core::ErrorKind::InvalidArgument,
                      "outage is none, refuse or drop");
  return static_cast<Outage>(it - OutageNames.begin());
}

core::Result<void> applyMember(LogFaults &faults, const std::string &name,
                               const Json &value) {
  if (name == "outage") {
    const auto outage = outageFromName(value.get<std::string>());
    if (!outage)
      return tl::unexpected(outage.error());
    faults.LogOutage = *outage;
  } else if (name == "slow_ms") {
    faults.Slow = std::chrono::milliseconds(value.get<std::uint32_t>());
  } else if (name == "lose_answers") {
    faults.LoseAnswers = value.get<bool>();
  } else if (name == "reject_rate") {
    faults.RejectRate = value.get<double>();
  } else {
    return core::fail(core::ErrorKind::InvalidArgument,
                      "unknown fault " + name);
  }
  return {};
}

} // namespace

core::Result<LogFaults> applyFaults(LogFaults current, std::string_view body) {
  try {
    const Json object = Json::parse(body);
    for (const auto &[name, value] : object.items())
      if (auto done = applyMember(current, name, value); !done)
        return tl::unexpected(done.error());
  } catch (const Json::exception &ec) {
    return core::fail(core::ErrorKind::InvalidArgument, ec.what());
  }
  return current;
}

std::string encodeFaults(const LogFaults &faults) {
  return Json{
      {"outage", OutageNames[static_cast<std::size_t>(faults.LogOutage)]},
      {"slow_ms", faults.Slow.count()},
      {"lose_answers", faults.LoseAnswers},
      {"reject_rate", faults.RejectRate}}
      .dump();
}

} // namespace acaciaroad::standinlog
