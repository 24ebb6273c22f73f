#include "Codec/TotalsMessages.h"

#include "Administration/LatencyHistogram.h"
#include "Codec/Conversion.h"

namespace acaciaroad::codec {

namespace {

using administration::BucketCount;
using administration::RefusedCount;
using administration::TotalsLine;

/// Keeps the sums of a day, over all instances, below 2^64.
constexpr std::uint64_t MaxCount = 1ULL << 48U;

bool read(const pb::NumberedCount &from, RefusedCount &to) {
  to.Count = from.count();
  return from.count() <= MaxCount &&
         readEnum(from.number(), core::ErrorKind::AnswerTooLarge, to.Kind);
}

bool read(const pb::NumberedCount &from, BucketCount &to) {
  to.Bucket = from.number();
  to.Count = from.count();
  return from.count() <= MaxCount &&
         from.number() < administration::LatencyHistogram::BucketCountMax;
}

void write(const TotalsLine &from, pb::TotalsLine &to) {
  to.set_account(from.Account);
  to.set_work_class(from.Class);
  to.set_served(from.Served);
  for (const RefusedCount &it : from.Refused) {
    auto *count = to.add_refused();
    count->set_number(enumNumber(it.Kind));
    count->set_count(it.Count);
  }
  for (const BucketCount &it : from.Latency) {
    auto *count = to.add_latency();
    count->set_number(it.Bucket);
    count->set_count(it.Count);
  }
  to.set_bytes_in(from.BytesIn);
  to.set_bytes_out(from.BytesOut);
}

bool read(const pb::TotalsLine &from, TotalsLine &to) {
  to.Served = from.served();
  to.BytesIn = from.bytes_in();
  to.BytesOut = from.bytes_out();
  const bool isBounded = to.Served <= MaxCount && to.BytesIn <= MaxCount &&
                         to.BytesOut <= MaxCount;
  const auto readCount = [](const pb::NumberedCount &message, auto &count) {
    return read(message, count);
  };
  return isBounded && readString(from.account(), to.Account) &&
         readString(from.work_class(), to.Class) &&
         readAll(from.refused(), to.Refused, readCount) &&
         readAll(from.latency(), to.Latency, readCount);
}

} // namespace

void write(const administration::TotalsRecord &from, pb::Totals &to) {
  to.set_instance(from.Instance.Value);
  to.set_sequence(from.Sequence);
  to.set_start_unix_ms(from.StartUnixMilliseconds);
  to.set_interval_ms(static_cast<std::uint32_t>(from.Interval.count()));
  for (const TotalsLine &it : from.Lines)
    write(it, *to.add_lines());
}

bool read(const pb::Totals &from, administration::TotalsRecord &to) {
  to.Instance = core::InstanceId{from.instance()};
  to.Sequence = from.sequence();
  to.StartUnixMilliseconds = from.start_unix_ms();
  to.Interval = std::chrono::milliseconds(from.interval_ms());
  return readAll(from.lines(), to.Lines,
                 [](const pb::TotalsLine &message, TotalsLine &line) {
                   return read(message, line);
                 });
}

} // namespace acaciaroad::codec
