/// \file
/// Exponentially weighted estimate of a request rate.

#ifndef ACACIAROAD_ACCOUNTS_DEMANDRATE_H
#define ACACIAROAD_ACCOUNTS_DEMANDRATE_H

#include "Core/Clock.h"

namespace acaciaroad::accounts {

/// Estimates the recent request rate by an exponentially decaying count.
class DemandRate {
public:
  /// Counts one request at \p now.
  void add(core::TimePoint now);

  /// Returns the number of requests expected in the next \p span.
  double expectedIn(core::Duration span, core::TimePoint now) const;

private:
  double decayed(core::TimePoint now) const;

  double Weight = 0;
  core::TimePoint Last{};
};

} // namespace acaciaroad::accounts

#endif
