#include "Platform/LogWriter.h"

#include <utility>

namespace acaciaroad::platform {

core::Result<std::shared_ptr<LogWriter>>
LogWriter::create(LogWriterOptions options) {
  if (!options.Client || options.QueueRecords == 0)
    return core::fail(core::ErrorKind::InvalidArgument,
                      "a log writer needs a client and room for a record");
  return std::shared_ptr<LogWriter>(new LogWriter(std::move(options)));
}

LogWriter::LogWriter(LogWriterOptions options)
    : Options(std::move(options)), Thread([this] { run(); }) {}

LogWriter::~LogWriter() { stop(); }

core::Result<void> LogWriter::submit(std::string_view stream,
                                     std::span<const std::byte> payload,
                                     AppendHandler onDone) {
  const auto *bytes = reinterpret_cast<const char *>(payload.data());
  {
    const std::lock_guard lock(Mutex);
    if (Stopping)
      return core::fail(core::ErrorKind::LogUnavailable, "writer stopped");
    if (Queue.size() >= Options.QueueRecords) {
      ++Counts.Refused;
      return core::fail(core::ErrorKind::QueueFull, "log writer queue");
    }
    Queue.push_back({std::string(stream), std::string(bytes, payload.size()),
                     std::move(onDone)});
  }
  Wakeup.notify_one();
  return {};
}

void LogWriter::stop() {
  {
    const std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wakeup.notify_one();
  if (Thread.joinable())
    Thread.join();
  failWaiting();
}

LogWriterCounts LogWriter::counts() const {
  const std::lock_guard lock(Mutex);
  return Counts;
}

void LogWriter::run() {
  std::unique_lock lock(Mutex);
  for (;;) {
    Wakeup.wait(lock, [this] { return Stopping || !Queue.empty(); });
    if (Stopping)
      return;
    const Entry entry = std::move(Queue.front());
    Queue.pop_front();
    lock.unlock();
    append(entry);
    lock.lock();
  }
}

void LogWriter::append(const Entry &entry) {
  const auto payload = std::as_bytes(std::span(entry.Payload));
  auto outcome = Options.Client->append(entry.Stream, payload);
  count(outcome);
  if (entry.OnDone)
    entry.OnDone(std::move(outcome));
}

void LogWriter::failWaiting() {
  std::deque<Entry> waiting;
  {
    const std::lock_guard lock(Mutex);
    waiting.swap(Queue);
  }
  for (const Entry &it : waiting) {
    core::Result<core::Offset> outcome =
        core::fail(core::ErrorKind::LogUnavailable, "writer stopped");
    count(outcome);
    if (it.OnDone)
      it.OnDone(std::move(outcome));
  }
}

void LogWriter::count(const core::Result<core::Offset> &outcome) {
  const std::lock_guard lock(Mutex);
  if (outcome)
    ++Counts.Appended;
  else if (outcome.error().Kind == core::ErrorKind::LogOutcomeUnknown)
    ++Counts.Unknown;
  else
    ++Counts.Failed;
}

} // namespace acaciaroad::platform
