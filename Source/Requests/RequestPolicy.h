/// \file
/// Request limits derived from the targets of a work class.

#ifndef ACACIAROAD_REQUESTS_REQUESTPOLICY_H
#define ACACIAROAD_REQUESTS_REQUESTPOLICY_H

#include <cstdint>

#include "Configuration/ConfigurationRecord.h"
#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::requests {

/// Limits derived from the targets of one work class.
struct RequestPolicy {
  configuration::Execution Runs = configuration::Execution::Idempotent;
  core::Duration Deadline{};
  core::Duration LatencyTarget{};
  /// Retries and hedges allowed per request of the class, on average.
  double RetryRatio = 0;
  /// Attempts allowed for one request, hedges included.
  std::uint32_t MaxAttempts = 0;

  /// Derives the policy of a work class. Fails with InvalidArgument if deadline
  /// or latency target is not positive or the availability is above one million
  /// (parts per million).
  static core::Result<RequestPolicy> of(const configuration::WorkClass &value);
};

/// How an attempt at a request ended, as far as the entry node knows.
enum class AttemptOutcome : std::uint8_t {
  /// No byte of the request left this node.
  NotSent,
  /// The owner or the upstream reported that the request has not run.
  RefusedNotRun,
  /// The request was sent, but no complete answer arrived.
  SentNoAnswer,
  /// The complete answer arrived.
  Answered,
};

/// Returns whether a request that was refused as not run for \p reason can be
/// retried, on another instance or a little later on the same one.
bool isRetryable(core::ErrorKind reason);

} // namespace acaciaroad::requests

#endif
