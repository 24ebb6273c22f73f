/// \file
/// Token bucket that bounds retries and hedges.

#ifndef ACACIAROAD_REQUESTS_RETRYBUDGET_H
#define ACACIAROAD_REQUESTS_RETRYBUDGET_H

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::requests {

/// Capacity and refill of a retry budget, in extra attempts.
struct RetryBudgetLimits {
  /// Refill per second without traffic, up to `Initial`.
  double FloorPerSecond = 1;
  /// Largest number of extra attempts that can accumulate.
  double Capacity = 50;
  double Initial = 3;
};

/// Token bucket for the retries and hedges of one work class on one node. Each
/// request adds a fraction of an extra attempt; a small refill over time lets a
/// class with little traffic retry as well. Retries and hedges themselves add
/// nothing, so they cannot amplify an overload.
class RetryBudget {
public:
  /// \p ratio is the number of extra attempts that each request adds. Fails
  /// with InvalidArgument unless it is between 0 and 1.
  static core::Result<RetryBudget> create(double ratio, core::TimePoint now,
                                          const RetryBudgetLimits &limits = {});

  /// Adds the share of a request that arrived from a caller.
  void onRequest(core::TimePoint now);

  /// Takes one extra attempt; returns false if the budget is exhausted.
  bool tryAcquire(core::TimePoint now);

private:
  RetryBudget(double ratio, core::TimePoint now,
              const RetryBudgetLimits &limits);
  void refill(core::TimePoint now);

  double Ratio;
  RetryBudgetLimits Limits;
  double Tokens;
  core::TimePoint RefilledAt;
};

} // namespace acaciaroad::requests

#endif
