#include "Programs/StandinUpstream/UpstreamStats.h"

#include <array>

#include <nlohmann/json.hpp>

namespace acaciaroad::standinupstream {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 5> RefusalNames = {
    "stale_grant", "shedding", "deadline", "cancelled", "incomplete"};

Json refusedJson(const UpstreamStats &stats) {
  Json out = Json::object();
  for (const auto &[refusal, count] : stats.Refused)
    out[std::string(toString(refusal))] = count;
  return out;
}

Json repeatedJson(const UpstreamStats &stats) {
  Json out = Json::array();
  for (const auto &[key, count] : stats.StartsByKey)
    if (count > 1)
      out.push_back({{"key", key}, {"executions", count}});
  return out;
}

Json slicesJson(const GrantLedger &grants) {
  Json out = Json::array();
  for (const SliceUse &it : grants.uses())
    out.push_back({{"slice", it.Slice},
                   {"epoch", it.Epoch},
                   {"orders", it.Orders},
                   {"first_start_ns", core::toNanoseconds(it.FirstStart)},
                   {"last_start_ns", core::toNanoseconds(it.LastStart)}});
  return out;
}

} // namespace

std::string_view toString(Refusal refusal) {
  return RefusalNames[static_cast<std::size_t>(refusal)];
}

std::string encodeStats(const UpstreamStats &stats, const OrderCounts &orders,
                        const GrantLedger &grants) {
  return Json{{"served", stats.Served},
              {"started", stats.Started},
              {"refused", refusedJson(stats)},
              {"cancelled_running", stats.CancelledRunning},
              {"failed", stats.Failed},
              {"lost_answers", stats.LostAnswers},
              {"authorization_headers", stats.LeakedKeys},
              {"in_flight", orders.Running},
              {"queue", orders.Waiting},
              {"peak_in_flight", orders.RunningPeak},
              {"cold_overloads", orders.ColdOverloads},
              {"idempotency_keys", stats.StartsByKey.size()},
              {"repeated", repeatedJson(stats)},
              {"stale_epoch_executed", grants.staleStarts()},
              {"expired_grant_executed", grants.expiredStarts()},
              {"slices", slicesJson(grants)}}
      .dump();
}

} // namespace acaciaroad::standinupstream
