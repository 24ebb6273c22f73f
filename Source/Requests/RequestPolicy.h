/// \file
/// What the targets of a class of work mean for its requests.

#ifndef ACACIAROAD_REQUESTS_REQUESTPOLICY_H
#define ACACIAROAD_REQUESTS_REQUESTPOLICY_H

#include <cstdint>

#include "Configuration/ConfigurationRecord.h"
#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::requests {

/// Limits derived from the targets of one class.
struct RequestPolicy {
  configuration::Execution Runs = configuration::Execution::Idempotent;
  core::Duration Deadline{};
  core::Duration LatencyTarget{};
  /// Retries and hedges for each request of the class.
  double RetryRatio = 0;
  /// Attempts at one request, hedges included.
  std::uint32_t MaxAttempts = 0;

  /// Fails with InvalidArgument if deadline or latency target is not positive
  /// or the availability is above one million.
  static core::Result<RequestPolicy> of(const configuration::WorkClass &value);
};

/// How an attempt at a request ended, as far as the entry node knows.
enum class AttemptOutcome : std::uint8_t {
  /// No byte of the order left this node.
  NotSent,
  /// The owner or the upstream said that the order has not run.
  RefusedNotRun,
  /// The order was sent and no complete answer came.
  SentNoAnswer,
  /// The complete answer came.
  Answered,
};

/// Returns whether another instance, or the same one a little later, may serve
/// a request that was refused as not run for \p reason.
bool isRetryable(core::ErrorKind reason);

} // namespace acaciaroad::requests

#endif
