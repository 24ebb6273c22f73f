#include "Administration/TotalsStream.h"

#include <algorithm>

#include "Codec/LogCodec.h"

namespace acaciaroad::administration {

using core::Offset;
using core::Result;

namespace {

constexpr std::size_t BatchRecords = 500;

std::optional<TotalsRecord> totalsOf(const platform::LogRecord &record) {
  const auto entry =
      codec::decode(std::as_bytes(std::span<const char>(record.Payload)));
  if (!entry)
    return std::nullopt;
  const auto *totals = std::get_if<TotalsRecord>(&*entry);
  return totals ? std::optional(*totals) : std::nullopt;
}

/// Returns the time of the first totals record of a batch.
std::optional<std::int64_t> timeOf(const platform::LogBatch &batch) {
  for (const platform::LogRecord &it : batch.Records)
    if (const auto totals = totalsOf(it))
      return totals->StartUnixMilliseconds;
  return std::nullopt;
}

/// Folds a batch; returns whether it reaches beyond \p end.
bool foldBatch(const platform::LogBatch &batch, std::int64_t end,
               DayTotals &out) {
  bool isBeyond = false;
  for (const platform::LogRecord &it : batch.Records) {
    const auto totals = totalsOf(it);
    if (!totals)
      continue;
    out.fold(*totals);
    isBeyond = totals->StartUnixMilliseconds >= end;
  }
  return isBeyond;
}

} // namespace

Result<Offset> TotalsStream::findStart(platform::LogBounds bounds,
                                       std::int64_t time) const {
  constexpr std::size_t Probe = 1;
  Offset low = bounds.First;
  Offset high = bounds.Next;
  while (low < high) {
    const Offset middle = low + (high - low) / 2;
    const auto batch = Hooks.Read(middle, Probe);
    if (!batch)
      return tl::unexpected(batch.error());
    const auto found = timeOf(*batch);
    if (found && *found < time)
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

Result<DayTotals> TotalsStream::readDay(const DayRange &range) const {
  const auto bounds = Hooks.Bounds();
  if (!bounds)
    return tl::unexpected(bounds.error());
  const auto start =
      findStart(*bounds, range.BeginUnixMilliseconds - SlackMilliseconds);
  if (!start)
    return tl::unexpected(start.error());
  const std::int64_t end = range.EndUnixMilliseconds + SlackMilliseconds;
  DayTotals out(range);
  Offset from = *start;
  while (from < bounds->Next) {
    const auto batch = Hooks.Read(from, BatchRecords);
    if (!batch)
      return tl::unexpected(batch.error());
    if (foldBatch(*batch, end, out) || batch->Next <= from)
      break;
    from = batch->Next;
  }
  return out;
}

} // namespace acaciaroad::administration
