#include "Programs/StandinLog/LogStore.h"

#include <algorithm>

namespace acaciaroad::standinlog {

core::Offset LogStore::append(std::string_view stream,
                              std::string_view payload) {
  core::Offset offset = 0;
  {
    const std::lock_guard lock(Mutex);
    Stream &target = Streams[std::string(stream)];
    offset = target.next();
    target.Records.emplace_back(payload);
    if (target.Records.size() > Retention) {
      target.Records.pop_front();
      ++target.First;
    }
  }
  Appended.notify_all();
  return offset;
}

core::Result<platform::LogBatch> LogStore::read(const ReadRequest &request) {
  std::unique_lock lock(Mutex);
  const std::uint64_t interruptions = Interruptions;
  Appended.wait_for(lock, request.Wait, [&] {
    return find(request.Stream).next() > request.From ||
           Interruptions != interruptions || Closed;
  });
  const Stream &stream = find(request.Stream);
  if (request.From < stream.First)
    return core::fail(core::ErrorKind::LogTrimmed);
  platform::LogBatch out;
  out.First = stream.First;
  out.Next = std::min(request.From, stream.next());
  const std::size_t available = stream.next() - out.Next;
  const std::size_t count = std::min(available, request.Limit);
  for (std::size_t n = 0; n < count; ++n, ++out.Next)
    out.Records.push_back({out.Next, stream.Records[out.Next - stream.First]});
  return out;
}

platform::LogBounds LogStore::bounds(std::string_view stream) const {
  const std::lock_guard lock(Mutex);
  const Stream &it = find(stream);
  return {it.First, it.next()};
}

void LogStore::interruptReads() {
  {
    const std::lock_guard lock(Mutex);
    ++Interruptions;
  }
  Appended.notify_all();
}

void LogStore::close() {
  {
    const std::lock_guard lock(Mutex);
    Closed = true;
  }
  Appended.notify_all();
}

std::map<std::string, platform::LogBounds> LogStore::allBounds() const {
  const std::lock_guard lock(Mutex);
  std::map<std::string, platform::LogBounds> out;
  for (const auto &[name, stream] : Streams)
    out[name] = {stream.First, stream.next()};
  return out;
}

const LogStore::Stream &LogStore::find(std::string_view name) const {
  static const Stream empty;
  const auto it = Streams.find(name);
  return it == Streams.end() ? empty : it->second;
}

} // namespace acaciaroad::standinlog
