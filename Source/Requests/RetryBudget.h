/// \file
/// Bound on retries and hedges.

#ifndef ACACIAROAD_REQUESTS_RETRYBUDGET_H
#define ACACIAROAD_REQUESTS_RETRYBUDGET_H

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::requests {

/// How many extra attempts a budget holds.
struct RetryBudgetLimits {
  /// Extra attempts a second that need no traffic.
  double FloorPerSecond = 1;
  /// Extra attempts that can be saved up.
  double Capacity = 50;
  double Initial = 3;
};

/// Each request earns a fraction of an extra attempt, and a small floor lets a
/// class with little traffic retry at all. Since extra attempts earn nothing,
/// they cannot multiply an overload. One budget serves the retries and hedges
/// of one class on one node.
class RetryBudget {
public:
  /// \p ratio is extra attempts per request. Fails with InvalidArgument unless
  /// it is between 0 and 1.
  static core::Result<RetryBudget> create(double ratio, core::TimePoint now,
                                          const RetryBudgetLimits &limits = {});

  /// A request arrived from a caller.
  void onRequest(core::TimePoint now);

  /// Takes one extra attempt; returns false if the budget is used up.
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
