#include "Administration/DayTotals.h"

#include <chrono>
#include <numeric>

#include <fmt/format.h>

#include "Core/ParseNumber.h"

namespace acaciaroad::administration {

using core::ErrorKind;
using core::fail;
using core::Result;

namespace {

/// Kinds from here on belong to administration, not to callers' requests.
constexpr std::size_t RequestKindCount =
    static_cast<std::size_t>(ErrorKind::Conflict);

constexpr double P50 = 0.5;
constexpr double P99 = 0.99;

double toMilliseconds(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string csvHeader() {
  std::string out = "day,account,class,served,refused";
  for (std::size_t n = 0; n < RequestKindCount; ++n)
    out += fmt::format(",{}", core::answerFor(static_cast<ErrorKind>(n)).Name);
  return out + ",p50_ms,p99_ms,bytes_in,bytes_out\r\n";
}

std::string csvRow(std::string_view day, const TotalsKey &key,
                   const TotalsSum &sum) {
  std::string out = fmt::format("{},{},{},{},{}", day, key.Account, key.Class,
                                sum.Served, sum.refusedTotal());
  for (std::size_t n = 0; n < RequestKindCount; ++n)
    out += fmt::format(",{}", sum.Refused[n]);
  return out + fmt::format(",{:.3f},{:.3f},{},{}\r\n",
                           toMilliseconds(sum.Latency.quantile(P50)),
                           toMilliseconds(sum.Latency.quantile(P99)),
                           sum.BytesIn, sum.BytesOut);
}

} // namespace

Result<DayRange> parseDay(std::string_view text) {
  using namespace std::chrono;
  const bool isShaped = text.size() == 10 && text[4] == '-' && text[7] == '-';
  const auto numberAt = [&](std::size_t at, std::size_t n) {
    return isShaped ? core::parseNumber<int>(text.substr(at, n)).value_or(0)
                    : 0;
  };
  const int y = numberAt(0, 4);
  const int m = numberAt(5, 2);
  const int d = numberAt(8, 2);
  const year_month_day date{year(y), month(static_cast<unsigned>(m)),
                            day(static_cast<unsigned>(d))};
  if (y < 1970 || m <= 0 || d <= 0 || !date.ok())
    return fail(ErrorKind::InvalidArgument, "day");
  const milliseconds begin = sys_days(date).time_since_epoch();
  return DayRange{begin.count(), (begin + days(1)).count()};
}

std::uint64_t TotalsSum::refusedTotal() const {
  return std::accumulate(Refused.begin(), Refused.end(), std::uint64_t{0});
}

bool DayTotals::fold(const TotalsRecord &record) {
  if (record.StartUnixMilliseconds < Range.BeginUnixMilliseconds ||
      record.StartUnixMilliseconds >= Range.EndUnixMilliseconds)
    return false;
  const bool isKnown = Windows.count(record.Instance) != 0;
  if (!isKnown && Windows.size() >= MaxInstances) {
    ++Dropped;
    return false;
  }
  if (!Windows[record.Instance].admit(record.Sequence))
    return false;
  for (const TotalsLine &it : record.Lines) {
    TotalsSum &sum = sumOf(it);
    sum.Served += it.Served;
    for (const RefusedCount &refused : it.Refused)
      sum.Refused[static_cast<std::size_t>(refused.Kind)] += refused.Count;
    sum.Latency.merge(it.Latency);
    sum.BytesIn += it.BytesIn;
    sum.BytesOut += it.BytesOut;
  }
  ++Records;
  return true;
}

TotalsSum &DayTotals::sumOf(const TotalsLine &line) {
  const auto it = Rows.find(TotalsKey{line.Account, line.Class});
  if (it != Rows.end())
    return it->second;
  if (Rows.size() >= MaxRows)
    return Rows[TotalsKey{std::string(OtherName), std::string(OtherName)}];
  return Rows[TotalsKey{line.Account, line.Class}];
}

std::string DayTotals::toCsv(std::string_view day) const {
  std::string out = csvHeader();
  for (const auto &[key, sum] : Rows)
    out += csvRow(day, key, sum);
  return out;
}

} // namespace acaciaroad::administration
