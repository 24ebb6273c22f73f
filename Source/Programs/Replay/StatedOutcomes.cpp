#include "Programs/Replay/StatedOutcomes.h"

#include <cmath>
#include <optional>

#include <toml++/toml.h>

namespace acaciaroad::replay {

using core::ErrorKind;
using core::fail;
using core::Result;

namespace {

/// Reads the fields of one table; any that is left over is an error.
class TableReader {
public:
  explicit TableReader(const toml::table &table) : Table(table) {}

  double number(std::string_view field) {
    const auto value = Table[field].value<double>();
    IsValid = IsValid && value && *value >= 0;
    ++Taken;
    return value.value_or(0);
  }

  std::chrono::nanoseconds seconds(std::string_view field) {
    return std::chrono::nanoseconds(std::llround(number(field) * 1e9));
  }

  std::set<std::string> names(std::string_view field) {
    std::set<std::string> out;
    const auto *list = Table[field].as_array();
    IsValid = IsValid && list;
    ++Taken;
    for (std::size_t n = 0; list && n < list->size(); ++n)
      out.insert((*list)[n].value_or(std::string()));
    return out;
  }

  std::map<std::string, AccountLimit> limits(std::string_view field) {
    std::map<std::string, AccountLimit> out;
    const auto *accounts = Table[field].as_table();
    IsValid = IsValid && accounts;
    ++Taken;
    if (!accounts)
      return out;
    for (const auto &[name, node] : *accounts) {
      const auto *table = node.as_table();
      IsValid = IsValid && table;
      if (!table)
        continue;
      TableReader reader(*table);
      out[std::string(name.str())] = {reader.number("rate_per_second"),
                                      reader.number("burst")};
      IsValid = IsValid && reader.isDone();
    }
    return out;
  }

  bool isDone() const { return IsValid && Taken == Table.size(); }

private:
  const toml::table &Table;
  std::size_t Taken = 0;
  bool IsValid = true;
};

using Judge = std::function<Verdict(Events)>;

template <typename T> Judge toJudge(T judge) {
  return [judge = std::move(judge)](Events it) { return judge.judge(it); };
}

std::optional<Judge> readJudge(std::string_view rule, TableReader &reader) {
  if (rule == "sole_owner")
    return toJudge(SoleOwnerJudge{reader.seconds("tolerance_s")});
  if (rule == "cold_start")
    return toJudge(ColdStartJudge{});
  if (rule == "data_centre_out")
    return toJudge(DataCentreOutJudge{reader.seconds("within_s")});
  if (rule == "runs_once")
    return toJudge(RunsOnceJudge{reader.names("classes")});
  if (rule == "withdrawn_key")
    return toJudge(WithdrawnKeyJudge{reader.seconds("within_s")});
  if (rule == "own_answer")
    return toJudge(OwnAnswerJudge{});
  if (rule == "not_run")
    return toJudge(NotRunJudge{});
  if (rule != "account_rate")
    return std::nullopt;
  AccountRateJudge judge;
  judge.Limits = reader.limits("accounts");
  judge.Tolerance = reader.number("tolerance_requests");
  return toJudge(std::move(judge));
}

Result<void> readClock(const toml::node &node, TraceClock &out) {
  const auto name = node.value_or(std::string());
  if (name != "wall" && name != "boot")
    return fail(ErrorKind::InvalidArgument, "clock");
  out = name == "boot" ? TraceClock::Boot : TraceClock::Wall;
  return {};
}

} // namespace

Result<StatedOutcomes> StatedOutcomes::parse(std::string_view toml) {
  StatedOutcomes out;
  toml::table file;
  try {
    file = toml::parse(toml);
  } catch (const toml::parse_error &error) {
    return fail(ErrorKind::InvalidArgument, std::string(error.description()));
  }
  for (const auto &[name, node] : file) {
    const std::string rule(name.str());
    if (rule == "clock") {
      if (const auto clock = readClock(node, out.Clock); !clock)
        return tl::unexpected(clock.error());
      continue;
    }
    const auto *table = node.as_table();
    if (!table)
      return fail(ErrorKind::InvalidArgument, rule);
    TableReader reader(*table);
    auto judge = readJudge(rule, reader);
    if (!judge || !reader.isDone())
      return fail(ErrorKind::InvalidArgument, rule);
    out.Judges.push_back(std::move(*judge));
  }
  return out;
}

} // namespace acaciaroad::replay
