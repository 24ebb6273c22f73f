#include "Feed/RelayBuffer.h"

#include <algorithm>

namespace acaciaroad::feed {

namespace {

std::size_t sizeOf(const KeyedRecord &record) {
  return sizeof(KeyedRecord) + record.Key.size() +
         (record.Value ? record.Value->size() : 0);
}

} // namespace

void RelayBuffer::reset(core::Offset end, core::TimePoint requestedAt) {
  Records.clear();
  Bytes = 0;
  FirstOffset = end;
  End = end;
  RequestedAt = requestedAt;
  IsInitialized = true;
}

void RelayBuffer::add(std::span<const KeyedRecord> records, core::Offset end,
                      core::TimePoint requestedAt) {
  if (!IsInitialized || end < End || records.size() != end - End) {
    // Offsets without a record, such as those that could not be decoded, can't
    // be represented.
    if (end != End || !IsInitialized)
      reset(end, requestedAt);
    return;
  }
  for (const KeyedRecord &it : records) {
    Bytes += sizeOf(it);
    Records.push_back(it);
  }
  End = end;
  RequestedAt = std::max(RequestedAt, requestedAt);
  while (Bytes > MaxBytes && !Records.empty()) {
    Bytes -= sizeOf(Records.front());
    Records.pop_front();
    ++FirstOffset;
  }
}

std::optional<Tail> RelayBuffer::read(core::Offset from,
                                      core::TimePoint now) const {
  if (!IsInitialized || from < FirstOffset)
    return std::nullopt;
  Tail out;
  out.Age = now - RequestedAt;
  out.Next = std::max(from, End);
  out.End = out.Next;
  if (from >= End)
    return out;
  out.Records.assign(Records.begin() +
                         static_cast<std::ptrdiff_t>(from - FirstOffset),
                     Records.end());
  return out;
}

} // namespace acaciaroad::feed
