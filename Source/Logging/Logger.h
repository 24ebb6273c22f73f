/// \file
/// JSON lines for operators, written by one thread.

#ifndef ACACIAROAD_LOGGING_LOGGER_H
#define ACACIAROAD_LOGGING_LOGGER_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "Core/Error.h"
#include "Logging/Field.h"
#include "Logging/Level.h"

namespace acaciaroad::logging {

/// Lines that wait for the writer thread at most.
inline constexpr std::size_t DefaultQueueLines = 8192;

/// How a logger is made.
struct LoggerOptions {
  /// The `instance` member of each line.
  std::string Instance;
  /// Lines below it are not formatted.
  Level Threshold = Level::Info;
  std::size_t QueueLines = DefaultQueueLines;
  /// After lines were written, others are collected for this long; those of
  /// Level::Warning and above are written at once, with what was collected.
  std::chrono::milliseconds Pause{0};
  /// Lines of up to this many bytes together are passed to Sink at once.
  std::size_t JoinedBytes = 0;
  /// Takes each line with its line feed, on the writer thread; standard error
  /// if empty.
  std::function<void(std::string_view)> Sink;
  /// Wall clock of the `ts` member; the system's if empty.
  std::function<std::chrono::system_clock::time_point()> WallClock;
};

/// Writes JSON lines. Callers only format and enqueue: when the sink is slower
/// than they are, lines are dropped and counted, and a line
/// `log_lines_dropped` tells the count. All members may be called from any
/// thread.
class Logger {
public:
  /// Starts the writer thread. Fails with InvalidArgument if the queue has no
  /// room for a line.
  static core::Result<std::shared_ptr<Logger>> create(LoggerOptions options);

  /// Writes what is queued and ends the writer thread.
  ~Logger();
  Logger(const Logger &) = delete;
  Logger &operator=(const Logger &) = delete;

  /// Whether a line of \p level would be written now.
  bool isEnabled(Level level) const {
    return level >= Threshold.load(std::memory_order_relaxed);
  }

  void setThreshold(Level level) {
    Threshold.store(level, std::memory_order_relaxed);
  }

  /// Enqueues one line, or drops it if the queue is full.
  void write(Level level, std::string_view event,
             std::span<const Field> fields) {
    if (isEnabled(level))
      enqueue(level, event, fields);
  }

  void write(Level level, std::string_view event,
             std::initializer_list<Field> fields = {}) {
    write(level, event, std::span<const Field>(fields.begin(), fields.size()));
  }

  /// Returns how many lines were dropped since the start.
  std::uint64_t droppedLines() const;

private:
  explicit Logger(LoggerOptions options);
  void enqueue(Level level, std::string_view event,
               std::span<const Field> fields);
  std::string format(Level level, std::string_view event,
                     std::span<const Field> fields) const;
  void run();
  void emit(std::span<const std::string> lines, std::uint64_t dropped);

  const LoggerOptions Options;
  std::atomic<Level> Threshold;
  mutable std::mutex Mutex;
  std::condition_variable Wakeup;
  std::vector<std::string> Queue;
  std::uint64_t Dropped = 0;
  bool Stopping = false;
  /// The writer waits for the first line.
  bool IsIdle = false;
  /// A line has come that ends the writer's pause.
  bool IsUrgent = false;
  std::thread Writer;
};

} // namespace acaciaroad::logging

#endif
