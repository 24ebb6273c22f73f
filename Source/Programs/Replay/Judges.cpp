#include "Programs/Replay/Judges.h"

#include <algorithm>

#include <fmt/format.h>

namespace acaciaroad::replay {

namespace {

constexpr double NanosecondsPerSecond = 1e9;

/// The newest owner of a slice that was seen to start.
struct SliceStart {
  std::string Instance;
  std::uint64_t Epoch = 0;
  std::int64_t Time = 0;
};

/// A token bucket; it runs below zero where the limit is broken.
struct Bucket {
  double Tokens = 0;
  std::int64_t Time = 0;
};

std::string describe(const TraceEvent &event) {
  return fmt::format("{} ns, instance {}, {}", event.Time, event.Instance,
                     event.Event);
}

/// Whom and what an order is for.
struct Origin {
  std::string Account;
  std::string Class;
};

/// Origins by request id, from the lines of nodes; upstreams know neither.
using Origins = std::map<std::string, Origin>;

Origins originsOf(Events events) {
  Origins out;
  for (const TraceEvent &it : events)
    if (!it.RequestId.empty() && !it.Class.empty())
      out.try_emplace(it.RequestId, Origin{it.Account, it.Class});
  return out;
}

Origin originOf(const TraceEvent &order, const Origins &origins) {
  if (!order.Class.empty())
    return {order.Account, order.Class};
  const auto it = origins.find(order.RequestId);
  return it == origins.end() ? Origin{} : it->second;
}

bool isUpstreamEvidence(const TraceEvent &event) {
  return event.Event == "upstream_order" || event.Event == "upstream_refuse";
}

bool isOwnership(const TraceEvent &event) {
  return event.Event == "own_start" || event.Event == "own_stop" ||
         event.Event == "order";
}

} // namespace

Verdict SoleOwnerJudge::judge(Events events) const {
  Verdict verdict("sole_owner");
  std::map<std::string, SliceStart> newest;
  for (const TraceEvent &it : events) {
    if (!isOwnership(it) || it.Slice.empty())
      continue;
    verdict.examine();
    SliceStart &start = newest[it.Slice];
    if (it.Event == "own_start" && it.Epoch >= start.Epoch) {
      start = {it.Instance, it.Epoch, it.Time};
      continue;
    }
    // An order shows its owner too, where no start was recorded.
    if (it.Event == "order" && it.Epoch > start.Epoch) {
      start = {it.Instance, it.Epoch, it.Time};
      continue;
    }
    const bool isOther =
        !start.Instance.empty() && start.Instance != it.Instance;
    // An owner that was succeeded in good order has a lower epoch and does
    // nothing later; one that comes after has started itself.
    if (isOther && it.Time > start.Time + Tolerance.count())
      verdict.addFinding(fmt::format("slice {}: {} at epoch {}, but {} started "
                                     "epoch {} before",
                                     it.Slice, describe(it), it.Epoch,
                                     start.Instance, start.Epoch));
  }
  return verdict;
}

Verdict ColdStartJudge::judge(Events events) const {
  Verdict verdict("cold_start");
  for (const TraceEvent &it : events) {
    if (it.Event != "upstream_order" || !it.Cold)
      continue;
    verdict.examine();
    if (it.InFlight > it.Bearable)
      verdict.addFinding(fmt::format("{}: {} in flight, {} bearable",
                                     describe(it), it.InFlight, it.Bearable));
  }
  return verdict;
}

Verdict DataCentreOutJudge::judge(Events events) const {
  Verdict verdict("data_centre_out");
  std::map<std::string, std::string> dataCentres;
  std::map<std::string, std::int64_t> outSince;
  for (const TraceEvent &it : events) {
    if (it.Event == "node_start")
      dataCentres[it.Instance] = it.DataCentre;
    if (it.Event == "data_centre_share" && it.SharePermille > 0)
      outSince.erase(it.DataCentre);
    // Every node tells of the change; the first counts.
    if (it.Event == "data_centre_share" && it.SharePermille == 0)
      outSince.try_emplace(it.DataCentre, it.Time);
    if (it.Event != "order")
      continue;
    const auto out = outSince.find(dataCentres[it.Instance]);
    if (out == outSince.end())
      continue;
    verdict.examine();
    if (it.Time > out->second + Within.count())
      verdict.addFinding(fmt::format("{} in data centre {}, out since {} ns",
                                     describe(it), out->first, out->second));
  }
  return verdict;
}

Verdict RunsOnceJudge::judge(Events events) const {
  Verdict verdict("runs_once");
  const auto origins = originsOf(events);
  std::set<std::pair<std::string, std::string>> seen;
  for (const TraceEvent &it : events) {
    if (it.Event != "upstream_order" || it.IdempotencyKey.empty())
      continue;
    const Origin origin = originOf(it, origins);
    if (Classes.count(origin.Class) == 0)
      continue;
    verdict.examine();
    if (!seen.emplace(origin.Account, it.IdempotencyKey).second)
      verdict.addFinding(fmt::format("{}: {}/{} runs again", describe(it),
                                     origin.Account, it.IdempotencyKey));
  }
  return verdict;
}

Verdict AccountRateJudge::judge(Events events) const {
  Verdict verdict("account_rate");
  std::map<std::string, Bucket> buckets;
  for (const TraceEvent &it : events) {
    const auto limit = Limits.find(it.Account);
    if (it.Event != "admit" || limit == Limits.end())
      continue;
    verdict.examine();
    const auto &[rate, burst] = limit->second;
    Bucket &bucket =
        buckets.try_emplace(it.Account, Bucket{burst, it.Time}).first->second;
    const double elapsed = static_cast<double>(it.Time - bucket.Time);
    const double refill = rate * elapsed / NanosecondsPerSecond;
    bucket.Tokens = std::min(burst, bucket.Tokens + refill) - 1;
    bucket.Time = it.Time;
    if (bucket.Tokens < -Tolerance)
      verdict.addFinding(fmt::format("{}: account {} is {:.1f} requests over",
                                     describe(it), it.Account, -bucket.Tokens));
  }
  return verdict;
}

Verdict WithdrawnKeyJudge::judge(Events events) const {
  Verdict verdict("withdrawn_key");
  std::map<std::string, std::int64_t> withdrawn;
  for (const TraceEvent &it : events) {
    if (it.Event == "key_withdrawn")
      withdrawn.try_emplace(it.KeyId, it.Time);
    const auto key = withdrawn.find(it.KeyId);
    if (it.Event != "admit" || key == withdrawn.end())
      continue;
    verdict.examine();
    if (it.Time > key->second + Within.count())
      verdict.addFinding(fmt::format("{}: key {} withdrawn at {} ns",
                                     describe(it), it.KeyId, key->second));
  }
  return verdict;
}

Verdict OwnAnswerJudge::judge(Events events) const {
  Verdict verdict("own_answer");
  for (const TraceEvent &it : events) {
    if (it.Event != "caller_answer" || it.EchoedPath.empty())
      continue;
    verdict.examine();
    if (it.EchoedPath != it.SentPath)
      verdict.addFinding(fmt::format("{}: request {} got the answer to {}",
                                     describe(it), it.SentPath, it.EchoedPath));
  }
  return verdict;
}

Verdict NotRunJudge::judge(Events events) const {
  Verdict verdict("not_run");
  // A late order may be recorded after the refusal.
  std::set<std::string> started;
  bool hasEvidence = false;
  for (const TraceEvent &it : events) {
    if (it.Event == "upstream_order")
      started.insert(it.RequestId);
    hasEvidence = hasEvidence || isUpstreamEvidence(it);
  }
  if (!hasEvidence)
    return verdict;
  for (const TraceEvent &it : events) {
    if (it.Event != "refuse" || it.Ran != "no" || it.RequestId.empty())
      continue;
    verdict.examine();
    if (started.count(it.RequestId) != 0)
      verdict.addFinding(
          fmt::format("{}: request {} has run", describe(it), it.RequestId));
  }
  return verdict;
}

} // namespace acaciaroad::replay
