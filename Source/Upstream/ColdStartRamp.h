/// \file
/// Concurrency limit for an upstream in its cold start.

#ifndef ACACIAROAD_UPSTREAM_COLDSTARTRAMP_H
#define ACACIAROAD_UPSTREAM_COLDSTARTRAMP_H

#include <cstdint>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::upstream {

/// Starts with one order in flight and adds one after each step. A step
/// consists of a low-load phase, with a part of the limit in flight, and a
/// full-load phase, with the whole limit in flight. Each phase lasts for a
/// minimum time and a minimum number of completed orders. If latency is clearly
/// higher under full load, the additional orders only queued in the upstream,
/// and the limit is reduced to the sustainable concurrency. The phases follow
/// each other closely, so that an upstream that warms up in the meantime can't
/// hide the queueing. For an upstream several times slower than when warm, the
/// limit is lower by about the same factor. The cold start ends when the limit
/// reaches the slots.
class ColdStartRamp {
public:
  /// Starts cold. Fails with InvalidArgument if \p slots is 0.
  static core::Result<ColdStartRamp> create(std::uint32_t slots,
                                            core::TimePoint now);

  /// Restarts the ramp with one order in flight.
  void restart(core::TimePoint now);

  /// Adds a sample for an answered order; see ConcurrencyLimit::observe.
  void observe(double latencyRatio, std::uint32_t inFlight,
               core::TimePoint now);

  /// Reports that the upstream rejected an order or that a connection failed.
  /// Halves the limit and requires more completed orders in the next steps.
  void observeOverload(core::TimePoint now);

  bool isWarm() const;

  /// Returns the maximum number of orders in flight.
  std::uint32_t limit() const;

private:
  /// Latency ratios of the orders that finished in one phase.
  struct Phase {
    double Sum = 0;
    std::uint32_t Count = 0;
    double mean() const { return Count == 0 ? 1 : Sum / Count; }
  };

  ColdStartRamp(std::uint32_t slots, core::TimePoint now);
  void closePhase(core::TimePoint now);
  void closeStep();
  void beginStep(core::TimePoint now);
  void updateBaselineRatio(double latencyRatio);
  std::uint32_t requiredSamples() const;
  bool isQueueing(double latencyIncrease) const;
  std::uint32_t bearable(double latencyRatio) const;

  std::uint32_t Slots;
  std::uint32_t Limit = 1;
  std::uint32_t SamplesPerOrder;
  bool Warm = false;
  bool IsFullLoad = true;
  Phase LowLoad;
  Phase FullLoad;
  /// Moving average of the latency ratio under low load, in which the latest
  /// phase has half of the weight; 0 before the first phase.
  double BaselineRatio = 0;
  /// Orders in flight that were sent in the previous phase. They count for
  /// neither phase.
  std::uint32_t StaleOrders = 0;
  core::TimePoint PhaseStart;
};

} // namespace acaciaroad::upstream

#endif
