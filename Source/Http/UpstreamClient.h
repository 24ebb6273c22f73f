/// \file
/// The keep-alive connections to one upstream.

#ifndef ACACIAROAD_HTTP_UPSTREAMCLIENT_H
#define ACACIAROAD_HTTP_UPSTREAMCLIENT_H

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Http/CancelToken.h"
#include "Http/UpstreamConnection.h"
#include "Http/UpstreamOrder.h"

namespace acaciaroad::http {

/// Settings of an UpstreamClient.
struct UpstreamClientOptions {
  std::string Host = "127.0.0.1";
  int Port = 0;
  /// Connections at any moment.
  std::size_t ConnectionLimit = 120;
  std::chrono::milliseconds ConnectTimeout{1'000};
  /// A connection unused for longer is not used again.
  std::chrono::milliseconds IdleTimeout{4'000};
};

/// Numbers since the start.
struct UpstreamClientCounters {
  std::uint64_t Orders = 0;
  std::uint64_t Connects = 0;
  /// Connections that the upstream had closed while they were idle.
  std::uint64_t Stale = 0;
  std::uint64_t OpenConnections = 0;
};

/// Sends orders to one upstream, each at most once: nothing is ever resent.
/// Callable from any thread.
class UpstreamClient {
public:
  explicit UpstreamClient(UpstreamClientOptions options);
  UpstreamClient(const UpstreamClient &) = delete;
  UpstreamClient &operator=(const UpstreamClient &) = delete;

  /// Sends \p order and passes the answer to \p sinks. Succeeds when the whole
  /// answer was passed on. Else, with no byte sent: NoUpstream, QueueFull if no
  /// connection came free, DeadlineTooShort if time ran out or \p cancel came
  /// first; sent without an answer: OutcomeUnknown; an answer that broke off:
  /// AnswerIncomplete; or the error of the body source or a sink.
  core::Result<void> execute(const UpstreamOrder &order,
                             const UpstreamSinks &sinks, CancelToken &cancel);

  UpstreamClientCounters counters() const;

private:
  struct Idle {
    std::unique_ptr<UpstreamConnection> Connection;
    core::TimePoint Since;
  };

  core::Result<std::unique_ptr<UpstreamConnection>>
  acquire(core::TimePoint deadline);
  std::unique_ptr<UpstreamConnection> takeIdleLocked(core::TimePoint now);
  void release(std::unique_ptr<UpstreamConnection> connection);

  const UpstreamClientOptions Options;
  mutable std::mutex Mutex;
  std::condition_variable Released;
  /// Last used last.
  std::vector<Idle> IdleConnections;
  std::size_t Open = 0;
  UpstreamClientCounters Counters;
};

} // namespace acaciaroad::http

#endif
