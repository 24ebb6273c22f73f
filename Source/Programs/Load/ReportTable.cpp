#include "Programs/Load/ReportTable.h"

#include <iterator>

#include <fmt/format.h>

namespace acaciaroad::load {

namespace {

constexpr double Percent = 100;

double millisecondsOf(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void addRow(std::string &out, std::string_view group, const GroupReport &it) {
  const std::uint64_t failed = it.Offered - it.count(Outcome::Served) -
                               it.count(Outcome::Refused) -
                               it.count(Outcome::Unknown);
  fmt::format_to(
      std::back_inserter(out),
      "{:<8} {:<16} {:>8} {:>7.2f}% {:>8} {:>9} {:>7} {:>7} {:>8.1f} {:>8.1f} "
      "{:>8.1f} {:>8.1f} {:>9.0f}\n",
      group, it.Name, it.Offered, Percent * it.servedShare(),
      it.count(Outcome::Refused), it.WrongfullyRefused,
      it.count(Outcome::Unknown), failed, millisecondsOf(it.Latency.P50),
      millisecondsOf(it.Latency.P90), millisecondsOf(it.Latency.P99),
      millisecondsOf(it.Latency.P999), millisecondsOf(it.Unavailable));
}

} // namespace

std::string renderTable(const Report &report) {
  std::string out = fmt::format(
      "{:<8} {:<16} {:>8} {:>8} {:>8} {:>9} {:>7} {:>7} {:>8} {:>8} {:>8} "
      "{:>8} {:>9}\n",
      "group", "name", "offered", "served", "refused", "wrongful", "unknown",
      "failed", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "unavl. ms");
  addRow(out, "all", report.All);
  for (const GroupReport &it : report.Accounts)
    addRow(out, "account", it);
  for (const GroupReport &it : report.Classes)
    addRow(out, "class", it);
  if (report.WorstAccount)
    fmt::format_to(std::back_inserter(out), "worst-served account: {}\n",
                   report.Accounts[*report.WorstAccount].Name);
  fmt::format_to(std::back_inserter(out),
                 "requests were sent up to {:.2f} ms late (p99)\n",
                 millisecondsOf(report.SendDelayP99));
  return out;
}

} // namespace acaciaroad::load
