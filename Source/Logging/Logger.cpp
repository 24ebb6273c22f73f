#include "Logging/Logger.h"

#include <cstdio>
#include <utility>

#include <fmt/core.h>

#include "Logging/LineFormat.h"

namespace acaciaroad::logging {

namespace {

LoggerOptions withDefaults(LoggerOptions options) {
  if (!options.Sink)
    options.Sink = [](std::string_view line) {
      // A closed standard error must not end the process.
      try {
        fmt::print(stderr, "{}", line);
      } catch (const std::exception &) { // NOLINT(bugprone-empty-catch)
      }
    };
  if (!options.WallClock)
    options.WallClock = [] { return std::chrono::system_clock::now(); };
  return options;
}

} // namespace

core::Result<std::shared_ptr<Logger>> Logger::create(LoggerOptions options) {
  if (options.QueueLines == 0)
    return core::fail(core::ErrorKind::InvalidArgument,
                      "the log queue needs room for at least one line");
  return std::shared_ptr<Logger>(new Logger(withDefaults(std::move(options))));
}

Logger::Logger(LoggerOptions options)
    : Options(std::move(options)), Threshold(Options.Threshold),
      Writer([this] { run(); }) {}

Logger::~Logger() {
  {
    const std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wakeup.notify_one();
  Writer.join();
}

std::uint64_t Logger::droppedLines() const {
  const std::lock_guard lock(Mutex);
  return Dropped;
}

std::string Logger::format(Level level, std::string_view event,
                           std::span<const Field> fields) const {
  return formatLine({Options.WallClock(), level, event, Options.Instance},
                    fields);
}

void Logger::enqueue(Level level, std::string_view event,
                     std::span<const Field> fields) {
  std::string line = format(level, event, fields);
  {
    const std::lock_guard lock(Mutex);
    if (Queue.size() >= Options.QueueLines) {
      ++Dropped;
      return;
    }
    Queue.push_back(std::move(line));
    const bool isUrgent = level >= Level::Warning;
    IsUrgent = IsUrgent || isUrgent;
    if (!std::exchange(IsIdle, false) && !isUrgent)
      return;
  }
  Wakeup.notify_one();
}

void Logger::run() {
  std::vector<std::string> lines;
  std::uint64_t reported = 0;
  std::unique_lock lock(Mutex);
  for (;;) {
    IsIdle = Queue.empty();
    Wakeup.wait(lock, [this] { return Stopping || !Queue.empty(); });
    IsIdle = false;
    IsUrgent = false;
    lines.swap(Queue);
    const std::uint64_t dropped = Dropped - std::exchange(reported, Dropped);
    const bool isLast = Stopping;
    lock.unlock();
    emit(lines, dropped);
    lines.clear();
    if (isLast)
      return;
    lock.lock();
    Wakeup.wait_for(lock, Options.Pause,
                    [this] { return Stopping || IsUrgent; });
  }
}

void Logger::emit(std::span<const std::string> lines, std::uint64_t dropped) {
  std::string joined;
  for (const std::string &it : lines) {
    if (!joined.empty() && joined.size() + it.size() > Options.JoinedBytes)
      Options.Sink(std::exchange(joined, {}));
    joined += it;
  }
  if (!joined.empty())
    Options.Sink(joined);
  if (dropped == 0)
    return;
  const Field fields[] = {{"count", dropped}};
  Options.Sink(format(Level::Warning, "log_lines_dropped", fields));
}

} // namespace acaciaroad::logging
