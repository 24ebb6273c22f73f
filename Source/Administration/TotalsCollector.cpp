#include "Administration/TotalsCollector.h"

#include <utility>

namespace acaciaroad::administration {

namespace {

TotalsLine toLine(const TotalsKey &key, const TotalsSum &sum) {
  TotalsLine line{key.Account,          key.Class,   sum.Served,  {},
                  sum.Latency.counts(), sum.BytesIn, sum.BytesOut};
  for (std::size_t n = 0; n < sum.Refused.size(); ++n)
    if (sum.Refused[n] != 0)
      line.Refused.push_back({static_cast<core::ErrorKind>(n), sum.Refused[n]});
  return line;
}

} // namespace

void TotalsCollector::add(const RequestOutcome &outcome) {
  const std::lock_guard lock(Mutex);
  TotalsKey key{std::string(outcome.Account), std::string(outcome.Class)};
  if (Sums.size() >= MaxLines && Sums.count(key) == 0)
    key = {std::string(DayTotals::OtherName),
           std::string(DayTotals::OtherName)};
  TotalsSum &sum = Sums[std::move(key)];
  sum.BytesIn += outcome.BytesIn;
  sum.BytesOut += outcome.BytesOut;
  if (outcome.Refused) {
    ++sum.Refused[static_cast<std::size_t>(*outcome.Refused)];
    return;
  }
  ++sum.Served;
  sum.Latency.add(outcome.Latency);
}

std::optional<TotalsRecord>
TotalsCollector::cut(std::int64_t nowUnixMilliseconds) {
  std::map<TotalsKey, TotalsSum> sums;
  TotalsRecord record;
  {
    const std::lock_guard lock(Mutex);
    sums.swap(Sums);
    record.StartUnixMilliseconds = StartUnixMilliseconds;
    record.Interval = std::chrono::milliseconds(
        std::max<std::int64_t>(0, nowUnixMilliseconds - StartUnixMilliseconds));
    StartUnixMilliseconds = nowUnixMilliseconds;
    if (sums.empty())
      return std::nullopt;
    record.Sequence = ++Sequence;
  }
  record.Instance = Instance;
  for (const auto &[key, sum] : sums)
    record.Lines.push_back(toLine(key, sum));
  return record;
}

} // namespace acaciaroad::administration
