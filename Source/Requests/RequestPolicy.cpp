#include "Requests/RequestPolicy.h"

#include <algorithm>
#include <cmath>

namespace acaciaroad::requests {

using core::ErrorKind;

namespace {

constexpr std::uint32_t PartsPerMillion = 1'000'000;
/// Retry ratio for each nine of the availability target.
constexpr double RetryRatioPerNine = 0.05;
constexpr double MinRetryRatio = 0.05;
constexpr double MaxRetryRatio = 0.2;
constexpr std::uint32_t MaxAttemptsPerRequest = 3;

double retryRatio(std::uint32_t availabilityPpm) {
  const double failing =
      PartsPerMillion - std::min(availabilityPpm, PartsPerMillion - 1);
  const double nines = -std::log10(failing / PartsPerMillion);
  return std::clamp(nines * RetryRatioPerNine, MinRetryRatio, MaxRetryRatio);
}

} // namespace

core::Result<RequestPolicy>
RequestPolicy::of(const configuration::WorkClass &value) {
  if (value.Deadline.count() <= 0 || value.LatencyTarget.count() <= 0 ||
      value.AvailabilityPpm > PartsPerMillion)
    return core::fail(
        ErrorKind::InvalidArgument,
        "deadline and latency target of a work class must be positive, and its "
        "availability at most 1000000 ppm");
  return RequestPolicy{value.ExecutionMode, value.Deadline, value.LatencyTarget,
                       retryRatio(value.AvailabilityPpm),
                       MaxAttemptsPerRequest};
}

bool isRetryable(ErrorKind reason) {
  switch (reason) {
  case ErrorKind::QueueFull:
  case ErrorKind::DeadlineTooShort:
  case ErrorKind::NoOwner:
  case ErrorKind::NoUpstream:
  case ErrorKind::UpstreamShedding:
  case ErrorKind::NodeIsolated:
  case ErrorKind::NodeStopping:
  case ErrorKind::OwnerChanged:
  case ErrorKind::PeerUnreachable:
    return true;
  default:
    return false;
  }
}

} // namespace acaciaroad::requests
