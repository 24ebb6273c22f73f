/// \file
/// Bound on the orders in flight to an upstream in its cold start.

#ifndef ACACIAROAD_UPSTREAM_COLDSTARTRAMP_H
#define ACACIAROAD_UPSTREAM_COLDSTARTRAMP_H

#include <cstdint>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::upstream {

/// Starts at one order and adds one after each step. A step asks for completed
/// work at the full limit and for some time. Its latency sets how far the limit
/// may grow: an upstream several times slower than when it was warm bears that
/// many times fewer orders. Reaching the slots ends the cold start.
class ColdStartRamp {
public:
  /// Starts cold. Fails with InvalidArgument for no slots.
  static core::Result<ColdStartRamp> create(std::uint32_t slots,
                                            core::TimePoint now);

  /// Goes back to one order.
  void restart(core::TimePoint now);

  /// Adds one answered order, as ConcurrencyLimit::observe does.
  void observe(double latencyRatio, std::uint32_t inFlight,
               core::TimePoint now);

  /// The upstream refused an order or broke a connection: halves the limit and
  /// asks for more work in each later step.
  void overloaded(core::TimePoint now);

  bool isWarm() const;

  /// Returns the orders that may be in flight.
  std::uint32_t limit() const;

private:
  ColdStartRamp(std::uint32_t slots, core::TimePoint now);
  void closeStep(core::TimePoint now);
  void beginStep(core::TimePoint now);
  std::uint32_t bearable(double latencyRatio) const;

  std::uint32_t Slots;
  std::uint32_t Limit = 1;
  std::uint32_t StepWork;
  bool Warm = false;
  double RatioSum = 0;
  std::uint32_t Completed = 0;
  core::TimePoint StepStart;
};

} // namespace acaciaroad::upstream

#endif
