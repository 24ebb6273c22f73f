/// \file
/// Bound on the orders in flight to an upstream in its cold start.

#ifndef ACACIAROAD_UPSTREAM_COLDSTARTRAMP_H
#define ACACIAROAD_UPSTREAM_COLDSTARTRAMP_H

#include <cstdint>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::upstream {

/// Starts at one order and adds one after each step. A step has a phase with
/// few orders in flight and one with all that the limit allows; both ask for
/// completed work and some time. If the latency of the full phase is clearly
/// above that of the other, the added orders only waited in the upstream, and
/// the limit goes back to what it bore. The two phases follow each other
/// closely, so an upstream that grows faster meanwhile does not hide its
/// crowding. An upstream several times slower than when it was warm is given
/// that many times fewer orders. Reaching the slots ends the cold start.
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
  void observeOverload(core::TimePoint now);

  bool isWarm() const;

  /// Returns the orders that may be in flight.
  std::uint32_t limit() const;

private:
  /// Latency ratios of the orders that ended in one phase.
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
  /// Latency ratio of quiet phases, the latest one for half; 0 if unknown.
  double BaselineRatio = 0;
  /// Orders that were sent in the phase before and still count for neither.
  std::uint32_t StaleOrders = 0;
  core::TimePoint PhaseStart;
};

} // namespace acaciaroad::upstream

#endif
