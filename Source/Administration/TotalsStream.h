/// \file
/// Reads a day's totals out of the stream of totals records.

#ifndef ACACIAROAD_ADMINISTRATION_TOTALSSTREAM_H
#define ACACIAROAD_ADMINISTRATION_TOTALSSTREAM_H

#include <cstdint>
#include <functional>
#include <optional>

#include "Administration/DayTotals.h"
#include "Core/Error.h"
#include "Platform/LogBatch.h"

namespace acaciaroad::administration {

/// How to read the stream.
struct TotalsStreamHooks {
  std::function<core::Result<platform::LogBounds>()> Bounds;
  /// At most \p limit records from \p from on; does not wait for new ones.
  std::function<core::Result<platform::LogBatch>(core::Offset from,
                                                 std::size_t limit)>
      Read;
};

/// The stream holds records of all instances in about the order of time. A day
/// is found by bisection, so that its cost does not grow with what is retained.
class TotalsStream {
public:
  /// Records may stand this much earlier or later than their time says: the
  /// interval, the skew of clocks and a log outage.
  static constexpr std::int64_t SlackMilliseconds = 7'200'000;

  explicit TotalsStream(TotalsStreamHooks hooks) : Hooks(std::move(hooks)) {}

  /// Folds the records of a day. Entries that are not totals are passed over.
  /// Fails as the hooks do.
  core::Result<DayTotals> readDay(const DayRange &range) const;

private:
  core::Result<core::Offset> findStart(platform::LogBounds bounds,
                                       std::int64_t time) const;

  const TotalsStreamHooks Hooks;
};

} // namespace acaciaroad::administration

#endif
