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
  Entries.clear();
  Newest.clear();
  Bytes = 0;
  FirstOffset = end;
  End = end;
  RequestedAt = requestedAt;
  IsInitialized = true;
}

void RelayBuffer::insert(const KeyedRecord &record, core::Offset end) {
  const auto [newest, isNew] = Newest.try_emplace(record.Key, NextNumber);
  if (!isNew) {
    const auto replaced = Entries.find(newest->second);
    Bytes -= sizeOf(replaced->second.Record);
    Entries.erase(replaced);
    newest->second = NextNumber;
  }
  Bytes += sizeOf(record);
  Entries.emplace_hint(Entries.end(), NextNumber++, Entry{record, end});
}

void RelayBuffer::dropOldest() {
  const auto oldest = Entries.begin();
  FirstOffset = oldest->second.End;
  Bytes -= sizeOf(oldest->second.Record);
  Newest.erase(oldest->second.Record.Key);
  Entries.erase(oldest);
}

void RelayBuffer::add(std::span<const KeyedRecord> records, core::Offset end,
                      core::TimePoint requestedAt) {
  if (!IsInitialized || end < End) {
    reset(end, requestedAt);
    return;
  }
  if (end > End) {
    const bool isComplete = records.size() == end - End;
    core::Offset offset = End;
    for (const KeyedRecord &it : records)
      insert(it, isComplete ? ++offset : end);
  }
  End = end;
  RequestedAt = std::max(RequestedAt, requestedAt);
  while (Bytes > MaxBytes && !Entries.empty())
    dropOldest();
}

std::optional<Tail> RelayBuffer::read(core::Offset from,
                                      core::TimePoint now) const {
  if (!IsInitialized || from < FirstOffset)
    return std::nullopt;
  Tail out;
  out.Age = now - RequestedAt;
  out.Next = std::max(from, End);
  out.End = out.Next;
  const auto first =
      std::find_if(Entries.rbegin(), Entries.rend(),
                   [&](const auto &it) { return it.second.End <= from; });
  for (auto it = first.base(); it != Entries.end(); ++it)
    out.Records.push_back(it->second.Record);
  return out;
}

} // namespace acaciaroad::feed
