/// \file
/// Estimate of a recent request rate.

#ifndef ACACIAROAD_ACCOUNTS_DEMANDRATE_H
#define ACACIAROAD_ACCOUNTS_DEMANDRATE_H

#include "Core/Clock.h"

namespace acaciaroad::accounts {

/// Counts requests with exponentially decaying weight.
class DemandRate {
public:
  void add(core::TimePoint now);

  /// Returns the requests expected in the next \p span.
  double expectedIn(core::Duration span, core::TimePoint now) const;

private:
  double decayed(core::TimePoint now) const;

  double Weight = 0;
  core::TimePoint Last{};
};

} // namespace acaciaroad::accounts

#endif
