#include "Programs/Load/ReportJson.h"

#include <nlohmann/json.hpp>

namespace acaciaroad::load {

namespace {

using Json = nlohmann::ordered_json;

constexpr int Indent = 1;

double millisecondsOf(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double secondsOf(core::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Json latencyJson(const LatencySummary &it) {
  return {{"p50", millisecondsOf(it.P50)},
          {"p90", millisecondsOf(it.P90)},
          {"p99", millisecondsOf(it.P99)},
          {"p99.9", millisecondsOf(it.P999)},
          {"max", millisecondsOf(it.Max)}};
}

Json kindsJson(const GroupReport &group, core::Ran ran) {
  Json out = Json::object();
  for (const auto &[kind, count] : group.Kinds) {
    const core::Answer &answer = core::answerFor(kind);
    if (answer.HasRan == ran)
      out[std::string(answer.Name)] = count;
  }
  return out;
}

Json groupJson(const GroupReport &group) {
  Json out = {{"name", group.Name}, {"offered", group.Offered}};
  for (std::size_t n = 0; n < OutcomeCount; ++n)
    out[std::string(toString(static_cast<Outcome>(n)))] = group.Outcomes[n];
  out["served_share"] = group.servedShare();
  out["refused_by_kind"] = kindsJson(group, core::Ran::No);
  out["unknown_by_kind"] = kindsJson(group, core::Ran::Unknown);
  out["wrongfully_refused"] = group.WrongfullyRefused;
  out["latency_ms"] = latencyJson(group.Latency);
  out["disturbance_ms"] = millisecondsOf(group.Disturbance);
  out["unavailable_ms"] = millisecondsOf(group.Unavailable);
  out["longest_outage_ms"] = millisecondsOf(group.LongestOutage);
  return out;
}

Json groupsJson(std::span<const GroupReport> groups) {
  Json out = Json::array();
  for (const GroupReport &it : groups)
    out.push_back(groupJson(it));
  return out;
}

Json secondsJson(std::span<const Interval> seconds) {
  Json out = Json::array();
  for (const Interval &it : seconds)
    out.push_back({{"at_s", secondsOf(it.Start)},
                   {"offered", it.Group.Offered},
                   {"served", it.Group.count(Outcome::Served)},
                   {"refused", it.Group.count(Outcome::Refused)},
                   {"p50_ms", millisecondsOf(it.Group.Latency.P50)},
                   {"p99_ms", millisecondsOf(it.Group.Latency.P99)}});
  return out;
}

Json actionsJson(std::span<const ActionResult> actions) {
  Json out = Json::array();
  for (const ActionResult &it : actions)
    out.push_back({{"label", it.Label},
                   {"at_s", secondsOf(it.Time)},
                   {"status", it.Status}});
  return out;
}

} // namespace

std::string renderJson(const Experiment &experiment, const Report &report,
                       std::span<const ActionResult> actions) {
  Json out = {{"experiment", experiment.Name},
              {"seed", experiment.Seed},
              {"duration_s", secondsOf(experiment.Length)},
              {"send_delay_p99_ms", millisecondsOf(report.SendDelayP99)}};
  out["all"] = groupJson(report.All);
  out["worst_account"] = report.WorstAccount
                             ? Json(report.Accounts[*report.WorstAccount].Name)
                             : Json(nullptr);
  out["accounts"] = groupsJson(report.Accounts);
  out["classes"] = groupsJson(report.Classes);
  out["refused_at_most_once"] = report.RefusedOnce;
  out["actions"] = actionsJson(actions);
  out["seconds"] = secondsJson(report.Seconds);
  return out.dump(Indent) + "\n";
}

} // namespace acaciaroad::load
