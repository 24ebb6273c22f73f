#include "Proxy/TrafficCounters.h"

#include <iterator>
#include <string_view>

#include <fmt/format.h>

namespace acaciaroad::proxy {

namespace {

void renderLatency(std::string &out, std::string_view name,
                   const administration::LatencyHistogram &histogram) {
  const auto to = std::back_inserter(out);
  fmt::format_to(to, "# TYPE {} histogram\n", name);
  std::uint64_t total = 0;
  for (const auto &it : histogram.counts()) {
    total += it.Count;
    const std::chrono::duration<double> bound =
        administration::LatencyHistogram::upperBound(it.Bucket);
    fmt::format_to(to, "{}_bucket{{le=\"{:.6f}\"}} {}\n", name, bound.count(),
                   total);
  }
  fmt::format_to(to, "{}_bucket{{le=\"+Inf\"}} {}\n{}_count {}\n", name, total,
                 name, total);
}

} // namespace

std::string render(const TrafficCounters &counters) {
  std::string out;
  const auto to = std::back_inserter(out);
  const auto counter = [&](std::string_view name, std::uint64_t value) {
    fmt::format_to(to, "# TYPE {} counter\n{} {}\n", name, name, value);
  };
  counter("acacia_requests_total", counters.Requests);
  counter("acacia_answered_total", counters.Answered);
  counter("acacia_abandoned_total", counters.Abandoned);
  fmt::format_to(to, "# TYPE acacia_unanswered_total counter\n");
  for (std::size_t n = 0; n < counters.Unanswered.size(); ++n)
    fmt::format_to(to, "acacia_unanswered_total{{cause=\"{}\"}} {}\n",
                   net::toString(static_cast<net::UnansweredCause>(n)),
                   counters.Unanswered[n]);
  counter("acacia_retries_total", counters.Retries);
  counter("acacia_orders_sent_total", counters.OrdersSent);
  counter("acacia_upstream_connects_total", counters.UpstreamConnects);
  counter("acacia_nested_calls_total", counters.NestedCalls);
  counter("acacia_upstream_pauses_total", counters.UpstreamPauses);
  counter("acacia_bandwidth_refusals_total", counters.BandwidthRefusals);
  const std::chrono::duration<double> delay = counters.LoopDelay;
  fmt::format_to(to,
                 "# TYPE acacia_loop_delay_seconds gauge\n"
                 "acacia_loop_delay_seconds {:.6f}\n",
                 delay.count());
  fmt::format_to(to, "# TYPE acacia_errors_total counter\n");
  for (std::size_t n = 0; n < counters.Errors.size(); ++n)
    if (counters.Errors[n] != 0)
      fmt::format_to(to, "acacia_errors_total{{kind=\"{}\"}} {}\n",
                     core::answerFor(static_cast<core::ErrorKind>(n)).Name,
                     counters.Errors[n]);
  renderLatency(out, "acacia_caller_seconds", counters.CallerLatency);
  renderLatency(out, "acacia_upstream_seconds", counters.UpstreamLatency);
  return out;
}

std::string render(const rollouts::VersionTraffic &versions) {
  const auto reports = versions.reports();
  if (reports.empty())
    return {};
  std::string out = "# TYPE acacia_rollout_share gauge\n";
  const auto to = std::back_inserter(out);
  for (const rollouts::CountReport &it : reports)
    fmt::format_to(to,
                   "acacia_rollout_share{{service=\"{}\",version=\"{}\"}} {}\n",
                   it.Service, it.Version,
                   versions.find(it.Service)->shareAt(core::BootClock::now()));
  const auto renderCounts = [&](std::string_view name, auto valueOf) {
    fmt::format_to(to, "# TYPE {} counter\n", name);
    for (const rollouts::CountReport &report : reports)
      for (const rollouts::RouteCounts &it : report.Routes)
        for (const bool isNext : {false, true})
          fmt::format_to(
              to, "{}{{service=\"{}\",route=\"{}\",version=\"{}\"}} {}\n", name,
              report.Service, it.Route, isNext ? report.Version : "former",
              valueOf(isNext ? it.Next : it.Former));
  };
  renderCounts("acacia_rollout_answers_total",
               [](const auto &it) { return it.answers(); });
  renderCounts("acacia_rollout_failures_total",
               [](const auto &it) { return it.Failures; });
  return out;
}

} // namespace acaciaroad::proxy
