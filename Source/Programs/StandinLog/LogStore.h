/// \file
/// Streams of records in memory.

#ifndef ACACIAROAD_STANDINLOG_LOGSTORE_H
#define ACACIAROAD_STANDINLOG_LOGSTORE_H

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Platform/LogBatch.h"

namespace acaciaroad::standinlog {

/// What a reader asks for.
struct ReadRequest {
  std::string_view Stream;
  core::Offset From = 0;
  std::size_t Limit = 0;
  core::Duration Wait{};
};

/// Holds the newest records of each stream. All members may be called from any
/// thread.
class LogStore {
public:
  /// Keeps \p retention records a stream.
  explicit LogStore(std::size_t retention) : Retention(retention) {}

  core::Offset append(std::string_view stream, std::string_view payload);

  /// Waits for a record at most as long as asked, or until interruptReads.
  /// Fails with LogTrimmed.
  core::Result<platform::LogBatch> read(const ReadRequest &request);

  /// A stream that nothing was appended to is empty.
  platform::LogBounds bounds(std::string_view stream) const;

  /// Ends every waiting read with what is there.
  void interruptReads();

  /// As interruptReads, and lets no later read wait.
  void close();

  /// Bounds of all streams by name.
  std::map<std::string, platform::LogBounds> allBounds() const;

private:
  struct Stream {
    core::Offset First = 0;
    std::deque<std::string> Records;
    core::Offset next() const { return First + Records.size(); }
  };

  const Stream &find(std::string_view name) const;

  const std::size_t Retention;
  mutable std::mutex Mutex;
  std::condition_variable Appended;
  std::map<std::string, Stream, std::less<>> Streams;
  std::uint64_t Interruptions = 0;
  bool Closed = false;
};

} // namespace acaciaroad::standinlog

#endif
