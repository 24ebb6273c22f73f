#include "Feed/RelayBuffer.h"

#include <algorithm>
#include <iterator>

namespace acaciaroad::feed {

namespace {

std::size_t sizeOf(const KeyedRecord &record) {
  return sizeof(KeyedRecord) + record.Key.size() +
         (record.Value ? record.Value->size() : 0);
}

} // namespace

void RelayBuffer::reset(core::Offset end, core::TimePoint requestedAt) {
  ByKey.clear();
  Entries.clear();
  Bytes = 0;
  FirstOffset = end;
  End = end;
  RequestedAt = requestedAt;
  IsInitialized = true;
}

void RelayBuffer::enterEra(core::LogEra era) {
  reset(0, {});
  Era = era;
  IsInitialized = false;
}

void RelayBuffer::insert(const KeyedRecord &record, core::Offset end) {
  if (const auto replaced = ByKey.find(record.Key); replaced != ByKey.end())
    erase(replaced->second);
  Bytes += sizeOf(record);
  Entries.push_back({record, end});
  ByKey.emplace(Entries.back().Record.Key, std::prev(Entries.end()));
}

void RelayBuffer::erase(EntryList::iterator entry) {
  Bytes -= sizeOf(entry->Record);
  ByKey.erase(entry->Record.Key);
  Entries.erase(entry);
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
  while (Bytes > MaxBytes && !Entries.empty()) {
    FirstOffset = Entries.front().End;
    erase(Entries.begin());
  }
}

std::optional<Tail> RelayBuffer::read(core::Offset from,
                                      core::TimePoint now) const {
  if (!IsInitialized || from < FirstOffset)
    return std::nullopt;
  Tail out;
  out.Age = now - RequestedAt;
  out.Era = Era;
  out.Next = std::max(from, End);
  out.End = out.Next;
  const auto first =
      std::find_if(Entries.rbegin(), Entries.rend(),
                   [&](const Entry &it) { return it.End <= from; });
  for (auto it = first.base(); it != Entries.end(); ++it)
    out.Records.push_back(it->Record);
  return out;
}

} // namespace acaciaroad::feed
