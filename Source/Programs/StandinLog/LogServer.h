/// \file
/// The stand-in for the platform's log: the protocol of LogMessages.h, faults
/// and statistics over HTTP.

#ifndef ACACIAROAD_STANDINLOG_LOGSERVER_H
#define ACACIAROAD_STANDINLOG_LOGSERVER_H

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Programs/StandinLog/LogFaults.h"
#include "Programs/StandinLog/LogStore.h"
#include "Programs/StandinServer/StandinServer.h"

namespace acaciaroad::standinlog {

/// How a server is made.
struct LogServerOptions {
  /// "ip:port"; port 0 lets the system choose.
  std::string Listen = "127.0.0.1:0";
  /// Records kept a stream.
  std::size_t RetentionRecords = 100'000;
  /// Appends beyond it within a second are answered 429; 0 is no limit.
  std::uint64_t AppendLimitPerSecond = 0;
  std::uint64_t Seed = 1;
};

/// What the server has done since its start.
struct LogServerStats {
  /// Appends that took effect.
  std::uint64_t Appends = 0;
  std::uint64_t Reads = 0;
  /// Appends refused, by outage, rate or fault.
  std::uint64_t Rejected = 0;
  std::uint64_t LostAnswers = 0;
  /// Most appends that took effect within one second.
  std::uint64_t AppendsPerSecondPeak = 0;
};

/// Serves until it is destroyed.
class LogServer {
public:
  /// Fails with InvalidArgument.
  static core::Result<std::unique_ptr<LogServer>>
  create(const LogServerOptions &options);

  ~LogServer();
  LogServer(const LogServer &) = delete;
  LogServer &operator=(const LogServer &) = delete;

  std::uint16_t port() const { return Server->port(); }
  LogServerStats stats() const;
  LogFaults faults() const;
  /// Also ends waiting reads, so that they meet the new faults.
  void setFaults(const LogFaults &faults);

private:
  enum class Admission : std::uint8_t { Accept, Refuse, Drop, TooMany };

  explicit LogServer(const LogServerOptions &options);
  void addRoutes(httplib::Server &server);
  void onAppend(const httplib::Request &request, httplib::Response &response);
  void onRead(const httplib::Request &request, httplib::Response &response);
  void onBounds(const httplib::Request &request, httplib::Response &response);
  void onFaults(const httplib::Request &request, httplib::Response &response);
  void onStats(httplib::Response &response) const;
  Admission admitAppend();
  /// Returns whether an outage has answered the request.
  bool answerOutage(httplib::Response &response) const;
  void delay();
  void startSecond();

  const LogServerOptions Options;
  LogStore Store;
  mutable std::mutex Mutex;
  std::condition_variable Stopped;
  bool Stopping = false;
  LogFaults Faults;
  LogServerStats Stats;
  std::mt19937_64 Random;
  core::TimePoint Second{};
  std::uint64_t AppendsThisSecond = 0;
  std::unique_ptr<standin::StandinServer> Server;
};

} // namespace acaciaroad::standinlog

#endif
