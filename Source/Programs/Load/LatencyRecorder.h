/// \file
/// Quantiles of latencies by Boost.Histogram.

#ifndef ACACIAROAD_LOAD_LATENCYRECORDER_H
#define ACACIAROAD_LOAD_LATENCYRECORDER_H

#include <boost/histogram.hpp>

#include "Core/Clock.h"

namespace acaciaroad::load {

/// Bins from 1 us to 1000 s that widen by less than 1%.
class LatencyRecorder {
public:
  LatencyRecorder();

  void add(core::Duration latency);

  /// Returns the upper bound of the bin that holds the \p quantile in (0, 1],
  /// at most the largest latency; 0 without any.
  core::Duration quantile(double quantile) const;

  core::Duration max() const { return Max; }

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram Counts;
  double Total = 0;
  core::Duration Max{};
};

} // namespace acaciaroad::load

#endif
