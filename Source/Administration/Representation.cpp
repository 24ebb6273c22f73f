#include "Administration/Representation.h"

#include <charconv>

#include <fmt/format.h>

namespace acaciaroad::administration {

using nlohmann::json;
using namespace configuration;

namespace {

constexpr EnumName<KeySource> KeySourceNames[] = {
    {KeySource::None, "none"},
    {KeySource::PathSegment, "path_segment"},
    {KeySource::QueryParameter, "query_parameter"},
    {KeySource::Header, "header"},
};

constexpr EnumName<Execution> ExecutionNames[] = {
    {Execution::Idempotent, "idempotent"},
    {Execution::AtMostOnce, "at_most_once"},
};

constexpr EnumName<ItemKind> ItemKindNames[] = {
    {ItemKind::Class, "class"},
    {ItemKind::Account, "account"},
    {ItemKind::Key, "key"},
};

constexpr EnumName<ChangeAction> ChangeActionNames[] = {
    {ChangeAction::Set, "set"},
    {ChangeAction::Removed, "removed"},
};

template <typename T> json toArray(const std::vector<T> &from) {
  json out = json::array();
  for (const T &it : from)
    out.push_back(toJson(it));
  return out;
}

json idsToJson(const std::vector<core::InstanceId> &ids) {
  json out = json::array();
  for (core::InstanceId it : ids)
    out.push_back(core::toString(it));
  return out;
}

double toMilliseconds(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

json toJson(const TotalsKey &key, const TotalsSum &sum) {
  json refused = json::object();
  for (std::size_t n = 0; n < sum.Refused.size(); ++n) {
    if (sum.Refused[n] == 0)
      continue;
    const auto kind = static_cast<core::ErrorKind>(n);
    refused[std::string(core::answerFor(kind).Name)] = sum.Refused[n];
  }
  return {{"account", key.Account},
          {"class", key.Class},
          {"served", sum.Served},
          {"refused", std::move(refused)},
          {"p50_ms", toMilliseconds(sum.Latency.quantile(0.5))},
          {"p99_ms", toMilliseconds(sum.Latency.quantile(0.99))},
          {"bytes_in", sum.BytesIn},
          {"bytes_out", sum.BytesOut}};
}

} // namespace

json toJson(const WorkClass &value) {
  return {{"name", value.Name},
          {"path_prefix", value.PathPrefix},
          {"service", value.Service},
          {"key", nameOf<KeySource>(value.Key, KeySourceNames)},
          {"key_name", value.KeyName},
          {"execution", nameOf<Execution>(value.ExecutionMode, ExecutionNames)},
          {"deadline_ms", value.Deadline.count()},
          {"latency_target_ms", value.LatencyTarget.count()},
          {"availability_ppm", value.AvailabilityPpm},
          {"body_limit_bytes", value.BodyLimitBytes}};
}

json toJson(const ClientAccount &value) {
  return {{"name", value.Name},
          {"rate_per_second", value.RatePerSecond},
          {"burst", value.Burst}};
}

json toJson(const ClassItem &item) {
  json out = toJson(item.Value);
  out["version"] = item.ItemVersion;
  return out;
}

json toJson(const AccountItem &item) {
  json out = toJson(item.Value);
  out["version"] = item.ItemVersion;
  return out;
}

json toJson(const KeyItem &item) {
  return {{"key_id", item.KeyId},
          {"account", item.Value.Account},
          {"version", item.ItemVersion}};
}

json toJson(const HistoryEntry &entry) {
  return {{"offset", entry.Offset},
          {"change_id", changeIdText(entry.Origin.ChangeId)},
          {"operator", entry.Origin.Operator},
          {"unix_ms", entry.Origin.UnixMilliseconds},
          {"kind", nameOf<ItemKind>(entry.Kind, ItemKindNames)},
          {"name", entry.Name},
          {"action", nameOf<ChangeAction>(entry.Action, ChangeActionNames)}};
}

json toJson(const InstanceLine &line) {
  return {{"id", core::toString(line.Id)},
          {"name", line.Name},
          {"data_centre", line.DataCentre},
          {"service", line.Service},
          {"http_address", line.HttpAddress},
          {"state", line.State},
          {"witness_version", line.WitnessVersion},
          {"slices", line.Slices},
          {"reachable", line.Reachable},
          {"next_offset", line.NextOffset}};
}

json toJson(const DataCentreLine &line) {
  return {{"name", line.Name},
          {"version", line.Version},
          {"share_permille", line.SharePermille},
          {"instances", line.Instances}};
}

json toJson(const ServiceLine &line) {
  return {{"name", line.Name},
          {"slices", line.Slices},
          {"unserved", line.Unserved}};
}

json toJson(const FleetStatus &status) {
  return {{"instance", core::toString(status.Self)},
          {"name", status.SelfName},
          {"next_offset", status.NextOffset},
          {"log_reachable", status.LogReachable},
          {"lease_held", status.LeaseHeld},
          {"instances", toArray(status.Instances)},
          {"data_centres", toArray(status.DataCentres)},
          {"services", toArray(status.Services)}};
}

json toJson(const OwnerReport &report) {
  return {{"service", report.Slice.Service},
          {"slice", report.Slice.Index},
          {"epoch", report.Epoch},
          {"owner", core::toString(report.Owner)},
          {"owner_name", report.OwnerName},
          {"http_address", report.HttpAddress},
          {"serving", report.Serving},
          {"waits_for", idsToJson(report.WaitsFor)},
          {"reason", report.Reason}};
}

json toJson(const InForceReport &report) {
  return {{"offset", report.Offset},
          {"live_instances", report.LiveInstances},
          {"applied", report.Applied},
          {"missing", report.Missing},
          {"everywhere", report.isEverywhere()}};
}

json toJson(const DayTotals &totals) {
  json rows = json::array();
  for (const auto &[key, sum] : totals.rows())
    rows.push_back(toJson(key, sum));
  return {{"records", totals.recordCount()},
          {"instances", totals.instanceCount()},
          {"dropped_records", totals.droppedCount()},
          {"rows", std::move(rows)}};
}

void readClass(FieldReader &reader, WorkClass &out) {
  reader.text("path_prefix", out.PathPrefix)
      .text("service", out.Service)
      .enumeration<KeySource>("key", out.Key, KeySourceNames,
                              Presence::Optional)
      .text("key_name", out.KeyName, Presence::Optional)
      .enumeration<Execution>("execution", out.ExecutionMode, ExecutionNames,
                              Presence::Optional)
      .milliseconds("deadline_ms", out.Deadline, Presence::Optional)
      .milliseconds("latency_target_ms", out.LatencyTarget, Presence::Optional)
      .number("availability_ppm", out.AvailabilityPpm, Presence::Optional)
      .number("body_limit_bytes", out.BodyLimitBytes, Presence::Optional);
}

void readAccount(FieldReader &reader, ClientAccount &out) {
  reader.real("rate_per_second", out.RatePerSecond).real("burst", out.Burst);
}

void readAnnouncement(FieldReader &reader,
                      upstream::UpstreamAnnouncement &out) {
  std::string name;
  reader.text("service", out.Service)
      .text("address", out.Address)
      .text("name", name, Presence::Optional)
      .number("boot_id", out.BootId)
      .number("slots", out.Slots)
      .number("connections", out.Connections)
      .flag("checks_grants", out.ChecksGrants, Presence::Optional)
      .flag("honours_deadlines", out.HonoursDeadlines, Presence::Optional)
      .flag("cold", out.Cold, Presence::Optional);
}

std::string changeIdText(std::uint64_t changeId) {
  return fmt::format("{:016x}", changeId);
}

std::optional<std::uint64_t> parseChangeId(std::string_view text) {
  constexpr std::size_t MaxDigits = 16;
  constexpr int Base = 16;
  std::uint64_t out = 0;
  const char *end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, out, Base);
  if (ec != std::errc() || it != end || text.size() > MaxDigits || out == 0)
    return std::nullopt;
  return out;
}

} // namespace acaciaroad::administration
