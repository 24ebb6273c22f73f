#include "Feed/RelayBuffer.h"

#include <algorithm>

namespace acaciaroad::feed {

namespace {

std::size_t sizeOf(const KeyedRecord &record) {
  return sizeof(KeyedRecord) + record.Key.size() +
         (record.Value ? record.Value->size() : 0);
}

} // namespace

void RelayBuffer::reset(core::Offset end, core::TimePoint asked) {
  Records.clear();
  Bytes = 0;
  First = end;
  End = end;
  Asked = asked;
  IsKnown = true;
}

void RelayBuffer::add(std::span<const KeyedRecord> records, core::Offset end,
                      core::TimePoint asked) {
  if (!IsKnown || end < End || records.size() != end - End) {
    // A record that says nothing has no place in the buffer.
    if (end != End || !IsKnown)
      reset(end, asked);
    return;
  }
  for (const KeyedRecord &it : records) {
    Bytes += sizeOf(it);
    Records.push_back(it);
  }
  End = end;
  Asked = std::max(Asked, asked);
  while (Bytes > MostBytes && !Records.empty()) {
    Bytes -= sizeOf(Records.front());
    Records.pop_front();
    ++First;
  }
}

std::optional<Tail> RelayBuffer::read(core::Offset from,
                                      core::TimePoint now) const {
  if (!IsKnown || from < First)
    return std::nullopt;
  Tail out;
  out.Age = now - Asked;
  out.Next = std::max(from, End);
  out.End = out.Next;
  if (from >= End)
    return out;
  out.Records.assign(Records.begin() +
                         static_cast<std::ptrdiff_t>(from - First),
                     Records.end());
  return out;
}

} // namespace acaciaroad::feed
