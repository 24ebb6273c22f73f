/// \file
/// Adaptive bound on the orders in flight to a warm upstream.

#ifndef ACACIAROAD_UPSTREAM_CONCURRENCYLIMIT_H
#define ACACIAROAD_UPSTREAM_CONCURRENCYLIMIT_H

#include <cstdint>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::upstream {

/// Additive increase while latency stays near its slow-moving minimum and the
/// limit is in use; multiplicative decrease, by the gradient, once it does not.
/// The limit is at least 1 and never above the slots.
class ConcurrencyLimit {
public:
  /// Starts at \p slots. Fails with InvalidArgument for no slots.
  static core::Result<ConcurrencyLimit> create(std::uint32_t slots);

  /// Adds one answered order: its latency over the slow-moving minimum of its
  /// class, and the orders in flight when it finished, itself included.
  void observe(double latencyRatio, std::uint32_t inFlight,
               core::TimePoint now);

  /// The upstream refused an order under load.
  void observeShed(core::TimePoint now);

  /// Returns the orders that may be in flight.
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
