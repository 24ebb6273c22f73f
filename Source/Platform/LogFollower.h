/// \file
/// Follows one stream of the platform's log.

#ifndef ACACIAROAD_PLATFORM_LOGFOLLOWER_H
#define ACACIAROAD_PLATFORM_LOGFOLLOWER_H

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "Core/Backoff.h"
#include "Platform/LogClient.h"

namespace acaciaroad::platform {

/// What to follow, and whom to tell. The hooks run on the follower's thread
/// and must not stop the follower.
struct LogFollowerOptions {
  std::shared_ptr<LogClient> Client;
  std::string Stream;
  core::Offset From = 0;
  /// Receives each answer of the log. A batch without records also tells that
  /// the reader is current.
  std::function<void(const LogBatch &)> OnBatch;
  /// The records before \p first are gone unread; reading goes on there.
  std::function<void(core::Offset first)> OnTrimmed;
  /// Called at the first answer or failure, and whenever that changes.
  std::function<void(bool)> OnReachable;
  /// How long one read waits for records.
  core::Duration Wait = std::chrono::seconds(1);
  std::size_t MaxRecords = 512;
  core::Duration ShortestPause = std::chrono::milliseconds(50);
  core::Duration LongestPause = std::chrono::seconds(2);
};

/// Reads a stream on a thread of its own from an offset on, through outages.
class LogFollower {
public:
  /// Starts the thread. Fails with InvalidArgument without client, stream or
  /// OnBatch.
  static core::Result<std::shared_ptr<LogFollower>>
  create(LogFollowerOptions options);

  /// Stops.
  ~LogFollower();
  LogFollower(const LogFollower &) = delete;
  LogFollower &operator=(const LogFollower &) = delete;

  /// Breaks a waiting read and ends the thread; no hook runs afterwards.
  void stop();

private:
  explicit LogFollower(LogFollowerOptions options);
  void run(const std::stop_token &stop);
  core::Result<void> step(const std::stop_token &stop);
  core::Result<void> skipTrimmed(const std::stop_token &stop);
  void reportReachable(bool isReachable);
  void pause(const std::stop_token &stop);

  const LogFollowerOptions Options;
  // The state below belongs to the thread.
  core::Offset Next;
  core::Backoff Pauses;
  enum class Reachability : std::uint8_t { Unknown, Yes, No };
  Reachability LogState = Reachability::Unknown;
  std::mutex Mutex;
  std::condition_variable_any Wakeup;
  std::jthread Thread;
};

} // namespace acaciaroad::platform

#endif
