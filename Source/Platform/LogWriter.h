/// \file
/// Appends to the platform's log without blocking the caller.

#ifndef ACACIAROAD_PLATFORM_LOGWRITER_H
#define ACACIAROAD_PLATFORM_LOGWRITER_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "Platform/LogClient.h"

namespace acaciaroad::platform {

/// Receives the outcome of one append, on the writer's thread or the one that
/// stops the writer.
using AppendHandler = std::function<void(core::Result<core::Offset>)>;

/// How a writer is made.
struct LogWriterOptions {
  std::shared_ptr<LogClient> Client;
  /// Records that wait at most.
  std::size_t QueueRecords = 256;
};

/// Outcomes of all appends so far.
struct LogWriterCounts {
  std::uint64_t Appended = 0;
  /// Surely not written.
  std::uint64_t Failed = 0;
  std::uint64_t Unknown = 0;
  /// Refused because the queue was full.
  std::uint64_t Refused = 0;
};

/// Appends records one after the other on a thread of its own, each once.
class LogWriter {
public:
  /// Starts the thread. Fails with InvalidArgument.
  static core::Result<std::shared_ptr<LogWriter>>
  create(LogWriterOptions options);

  /// Stops.
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  /// Enqueues a record; \p onDone is called exactly once for it. Fails with
  /// QueueFull, or LogUnavailable after a stop, and then never calls it.
  core::Result<void> submit(std::string_view stream,
                            std::span<const std::byte> payload,
                            AppendHandler onDone);

  /// Lets the running append end, fails the waiting ones with LogUnavailable
  /// and ends the thread. Must not be called from a handler.
  void stop();

  LogWriterCounts counts() const;

private:
  struct Entry {
    std::string Stream;
    std::string Payload;
    AppendHandler OnDone;
  };

  explicit LogWriter(LogWriterOptions options);
  void run();
  void append(const Entry &entry);
  void failWaiting();
  void count(const core::Result<core::Offset> &outcome);

  const LogWriterOptions Options;
  mutable std::mutex Mutex;
  std::condition_variable Wakeup;
  std::deque<Entry> Queue;
  LogWriterCounts Counts;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace acaciaroad::platform

#endif
