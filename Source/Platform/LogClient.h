/// \file
/// Client of the platform's append-only log.

#ifndef ACACIAROAD_PLATFORM_LOGCLIENT_H
#define ACACIAROAD_PLATFORM_LOGCLIENT_H

#include <chrono>
#include <cstddef>
#include <memory>
#include <span>
#include <stop_token>
#include <string>
#include <string_view>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"
#include "Platform/LogBatch.h"

namespace acaciaroad::platform {

class LogConnectionPool;

/// How to reach the log.
struct LogClientOptions {
  /// "ip:port" of the log service.
  std::string Address;
  core::Duration ConnectTimeout = std::chrono::seconds(1);
  /// For one answer, beyond the wait that a read asks for.
  core::Duration RequestTimeout = std::chrono::seconds(2);
};

/// Appends to and reads from streams. All members block and may be called from
/// any thread at once.
class LogClient {
public:
  /// Opens no connection yet. Fails with InvalidArgument.
  static core::Result<std::shared_ptr<LogClient>>
  create(const LogClientOptions &options);

  ~LogClient();
  LogClient(const LogClient &) = delete;
  LogClient &operator=(const LogClient &) = delete;

  /// Appends one record, and never sends it twice. Fails with LogUnavailable
  /// or InvalidArgument only if the record surely was not written, else with
  /// LogOutcomeUnknown.
  core::Result<core::Offset> append(std::string_view stream,
                                    std::span<const std::byte> payload);

  /// Reads at most \p maxRecords from \p from on. If there is none yet, waits
  /// up to \p wait for one and then returns an empty batch. Fails with
  /// LogTrimmed if \p from is past retention, LogUnavailable, CorruptMessage or
  /// InvalidArgument. A stop request makes it fail promptly.
  core::Result<LogBatch> read(std::string_view stream, core::Offset from,
                              core::Duration wait, std::size_t maxRecords,
                              std::stop_token stop = {});

  /// Returns which part of a stream is kept. Fails as read does.
  core::Result<LogBounds> bounds(std::string_view stream,
                                 std::stop_token stop = {});

private:
  explicit LogClient(const LogClientOptions &options,
                     std::unique_ptr<LogConnectionPool> pool);

  const LogClientOptions Options;
  const std::unique_ptr<LogConnectionPool> Pool;
};

} // namespace acaciaroad::platform

#endif
