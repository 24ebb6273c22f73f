/// \file
/// Adaptive concurrency limit for a warm upstream.

#ifndef ACACIAROAD_UPSTREAM_CONCURRENCYLIMIT_H
#define ACACIAROAD_UPSTREAM_CONCURRENCYLIMIT_H

#include <cstdint>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::upstream {

/// Limits the orders in flight by AIMD: additive increase while the limit is
/// fully used and latency stays near its slow-moving minimum; multiplicative
/// decrease, in proportion to the rise of latency, when it does not. The limit
/// stays between 1 and the number of slots.
class ConcurrencyLimit {
public:
  /// The limit starts at \p slots. Fails with InvalidArgument if that is 0.
  static core::Result<ConcurrencyLimit> create(std::uint32_t slots);

  /// Adds a sample for an answered order. \p latencyRatio is its latency
  /// divided by the slow-moving minimum of its class; \p inFlight is the number
  /// of orders in flight when it finished, including itself.
  void observe(double latencyRatio, std::uint32_t inFlight,
               core::TimePoint now);

  /// Reports that the upstream rejected an order because of overload. Decreases
  /// the limit at most once per window.
  void observeShed(core::TimePoint now);

  /// Returns the maximum number of orders in flight.
  std::uint32_t current() const;

private:
  explicit ConcurrencyLimit(std::uint32_t slots);
  void closeWindow(core::TimePoint now);
  void decrease(double factor);

  std::uint32_t Slots;
  double Limit;
  double RatioSum = 0;
  std::uint32_t Samples = 0;
  bool SaturatedInWindow = false;
  bool ShedInWindow = false;
  core::TimePoint WindowStart{};
};

} // namespace acaciaroad::upstream

#endif
