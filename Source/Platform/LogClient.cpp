#include "Platform/LogClient.h"

#include <utility>

#include <fmt/format.h>

#include "Core/Endpoint.h"
#include "Platform/LogConnection.h"
#include "Platform/LogMessages.h"

namespace acaciaroad::platform {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
constexpr int StatusTooLarge = 413;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;

constexpr const char *BinaryType = "application/octet-stream";

using core::ErrorKind;

/// Whether the request can't have reached the service.
bool isUnsent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

ErrorKind appendErrorFor(int status) {
  switch (status) {
  case StatusTooMany:
  case StatusUnavailable:
    return ErrorKind::LogUnavailable;
  case StatusBadRequest:
  case StatusNotFound:
  case StatusTooLarge:
    return ErrorKind::InvalidArgument;
  default:
    return ErrorKind::LogOutcomeUnknown;
  }
}

ErrorKind readErrorFor(int status) {
  switch (status) {
  case StatusGone:
    return ErrorKind::LogTrimmed;
  case StatusBadRequest:
  case StatusNotFound:
    return ErrorKind::InvalidArgument;
  default:
    return ErrorKind::LogUnavailable;
  }
}

std::string statusDetail(int status) {
  return fmt::format("the log answered {}", status);
}

std::string transportDetail(httplib::Error error) {
  return "connection to the log: " + httplib::to_string(error);
}

core::Result<core::Offset> appendResult(const httplib::Result &answer) {
  if (!answer)
    return core::fail(isUnsent(answer.error()) ? ErrorKind::LogUnavailable
                                               : ErrorKind::LogOutcomeUnknown,
                      transportDetail(answer.error()));
  if (answer->status != StatusOk)
    return core::fail(appendErrorFor(answer->status),
                      statusDetail(answer->status));
  auto offset = decodeAppendAnswer(answer->body);
  if (!offset)
    return core::fail(ErrorKind::LogOutcomeUnknown, offset.error().Detail);
  return offset;
}

/// Returns the error of a read's answer, or nothing if it has a body to decode.
core::Result<void> checkRead(const httplib::Result &answer) {
  if (!answer)
    return core::fail(ErrorKind::LogUnavailable,
                      transportDetail(answer.error()));
  if (answer->status != StatusOk)
    return core::fail(readErrorFor(answer->status),
                      statusDetail(answer->status));
  return {};
}

core::Result<void> checkStream(std::string_view stream) {
  if (!isStreamName(stream))
    return core::fail(ErrorKind::InvalidArgument,
                      fmt::format("'{}' is no stream name", stream));
  return {};
}

std::string recordsPath(std::string_view stream) {
  return fmt::format("/v1/streams/{}/records", stream);
}

/// Takes a connection out of the pool, and puts it back at the end.
class PooledConnection {
public:
  explicit PooledConnection(LogConnectionPool &pool)
      : Pool(pool), Connection(pool.take()) {}
  ~PooledConnection() { Pool.giveBack(std::move(Connection)); }
  PooledConnection(const PooledConnection &) = delete;
  PooledConnection &operator=(const PooledConnection &) = delete;
  LogConnection *operator->() const { return Connection.get(); }

private:
  LogConnectionPool &Pool;
  std::unique_ptr<LogConnection> Connection;
};

} // namespace

core::Result<std::shared_ptr<LogClient>>
LogClient::create(const LogClientOptions &options) {
  const auto endpoint = core::parseEndpoint(options.Address);
  if (!endpoint)
    return tl::unexpected(endpoint.error());
  if (options.ConnectTimeout <= core::Duration::zero() ||
      options.RequestTimeout <= core::Duration::zero())
    return core::fail(ErrorKind::InvalidArgument,
                      "timeouts of the log client must be positive");
  auto pool =
      std::make_unique<LogConnectionPool>(*endpoint, options.ConnectTimeout);
  return std::shared_ptr<LogClient>(new LogClient(options, std::move(pool)));
}

LogClient::LogClient(const LogClientOptions &options,
                     std::unique_ptr<LogConnectionPool> pool)
    : Options(options), Pool(std::move(pool)) {}

LogClient::~LogClient() = default;

core::Result<core::Offset>
LogClient::append(std::string_view stream, std::span<const std::byte> payload) {
  if (auto valid = checkStream(stream); !valid)
    return tl::unexpected(valid.error());
  const std::string path = recordsPath(stream);
  const auto *bytes = reinterpret_cast<const char *>(payload.data());
  const PooledConnection connection(*Pool);
  return appendResult(
      connection->run({}, Options.RequestTimeout, [&](httplib::Client &http) {
        return http.Post(path, bytes, payload.size(), BinaryType);
      }));
}

core::Result<LogBatch> LogClient::read(std::string_view stream,
                                       core::Offset from, core::Duration wait,
                                       std::size_t maxRecords,
                                       std::stop_token stop) {
  if (auto valid = checkStream(stream); !valid)
    return tl::unexpected(valid.error());
  const auto waitMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string path =
      fmt::format("{}?from={}&limit={}&wait_ms={}", recordsPath(stream), from,
                  maxRecords, waitMs);
  const PooledConnection connection(*Pool);
  const auto answer =
      connection->run(std::move(stop), wait + Options.RequestTimeout,
                      [&](httplib::Client &http) { return http.Get(path); });
  if (auto valid = checkRead(answer); !valid)
    return tl::unexpected(valid.error());
  auto batch = decodeBatch(answer->body);
  if (batch && batch->Next < from)
    return core::fail(
        ErrorKind::CorruptMessage,
        fmt::format("the log ends at offset {}, before {}", batch->Next, from));
  return batch;
}

core::Result<LogBounds> LogClient::bounds(std::string_view stream,
                                          std::stop_token stop) {
  if (auto valid = checkStream(stream); !valid)
    return tl::unexpected(valid.error());
  const std::string path = fmt::format("/v1/streams/{}", stream);
  const PooledConnection connection(*Pool);
  const auto answer =
      connection->run(std::move(stop), Options.RequestTimeout,
                      [&](httplib::Client &http) { return http.Get(path); });
  if (auto valid = checkRead(answer); !valid)
    return tl::unexpected(valid.error());
  return decodeBounds(answer->body);
}

} // namespace acaciaroad::platform
